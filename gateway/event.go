package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// event is one complete server-sent event.
type event struct {
	// content is the event as received, with the empty line that ends it.
	content []byte
	// id is the event's ID, if hasID.
	id    int
	hasID bool
}

// eventReader splits a stream into events.
type eventReader struct {
	reader *bufio.Reader
}

const (
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
)

func newEventReader(stream io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(stream, eventBufferBytes)}
}

// next returns the next complete event. It fails with io.EOF when the stream ends
// between two events, and with io.ErrUnexpectedEOF when it ends within one.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.reader.ReadSlice('\n')
		e.content = append(e.content, line...)
		if len(e.content) > maxEventBytes {
			return event{}, &EventTooLargeError{Bytes: maxEventBytes}
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(e.content) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e, nil
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			if id, err := strconv.Atoi(string(bytes.TrimSpace(value))); err == nil {
				e.id, e.hasID = id, true
			}
		}
	}
}
