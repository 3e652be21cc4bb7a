package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// protocolName begins each answer.
	protocolName = "HTTP/1."
	// maxInterimAnswers bounds the interim answers (1xx) before an answer.
	maxInterimAnswers = 8
	// maxHeaderTime bounds the time from the first byte of a header to its end. A runner
	// sends a header at once; the network or a pause may take about a second.
	maxHeaderTime = 1500 * time.Millisecond
)

// readHeader reads the header of the final answer. Interim answers are skipped.
func (p *Pool) readHeader(c *connection, method string) (*http.Response, error) {
	c.headerBytesLeft = p.options.MaxHeaderBytes
	defer func() { c.headerBytesLeft = noHeader }()
	for range maxInterimAnswers + 1 {
		response, err := p.readOneHeader(c, method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, &InterimAnswersError{Limit: maxInterimAnswers}
}

// readOneHeader reads the header of an interim or final answer. It waits without a limit
// for the first byte, since the runner may be working on the request.
func (p *Pool) readOneHeader(c *connection, method string) (*http.Response, error) {
	if _, err := c.peek(1); err != nil {
		return nil, err
	}
	if c.isHeaderBuffered() {
		return c.parseHeader(method)
	}
	timer := p.common.Clock.AfterFunc(maxHeaderTime, func() { _ = c.raw.Close() })
	response, err := c.parseHeader(method)
	if !timer.Stop() {
		return nil, &HeaderTimeoutError{Timeout: maxHeaderTime}
	}
	return response, err
}

// isHeaderBuffered reports whether a whole header has arrived. Most headers arrive at once
// and need no timer, which would take processor time for each answer.
func (c *connection) isHeaderBuffered() bool {
	// Bytes that are buffered can be peeked at without an error.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	return bytes.Contains(buffered, []byte("\r\n\r\n"))
}

// parseHeader fails as soon as a byte can't belong to an answer.
func (c *connection) parseHeader(method string) (*http.Response, error) {
	for length := 1; length <= len(protocolName); length++ {
		begin, err := c.peek(length)
		if err != nil {
			return nil, err
		}
		if begin[length-1] != protocolName[length-1] {
			return nil, &ProtocolError{Begin: string(begin)}
		}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil && c.headerBytesLeft == 0 {
		// The parser takes the line that the limit has cut for a malformed one.
		return nil, &HeaderTooLargeError{}
	}
	return response, err
}

// peek returns the next bytes without reading them.
func (c *connection) peek(length int) ([]byte, error) {
	begin, err := c.reader.Peek(length)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return begin, err
}
