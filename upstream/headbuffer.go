package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// bufferedHead returns the next head without reading it, or nothing if it has not arrived
// completely. It fails as soon as a byte can't belong to an answer.
func (c *connection) bufferedHead() ([]byte, error) {
	buffered := c.buffered()
	if err := checkProtocol(buffered); err != nil {
		return nil, err
	}
	return buffered[:headLength(buffered)], nil
}

// buffered returns the bytes that have arrived and are not read yet.
func (c *connection) buffered() []byte {
	// Bytes that are buffered can be peeked at without an error.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	return buffered
}

// headLength returns the length of the head with which bytes begin, or zero if it has no end.
// Lines may end with a bare LF.
func headLength(content []byte) int {
	for length := 0; ; {
		end := bytes.IndexByte(content[length:], '\n')
		if end < 0 {
			return 0
		}
		isEmpty := end == 0 || end == 1 && content[length] == '\r'
		length += end + 1
		if isEmpty {
			return length
		}
	}
}

// awaitHead waits until the next head has arrived completely, and returns it without reading
// it.
func (c *connection) awaitHead() ([]byte, error) {
	for {
		head, err := c.bufferedHead()
		if err != nil || len(head) > 0 {
			return head, err
		}
		if err := c.bufferMore(); err != nil {
			return nil, err
		}
	}
}

// checkProtocol fails if bytes can't be the begin of an answer.
func checkProtocol(begin []byte) error {
	for i := range min(len(begin), len(protocolName)) {
		if begin[i] != protocolName[i] {
			return &ProtocolError{Begin: string(begin[:i+1])}
		}
	}
	return nil
}

// bufferMore waits for further bytes and buffers them. The limit on the size of a header bounds
// the buffer.
func (c *connection) bufferMore() error {
	count := c.reader.Buffered()
	if count == c.reader.Size() {
		c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(c.buffered()), c), 2*count)
	}
	_, err := c.reader.Peek(count + 1)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
