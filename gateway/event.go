package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// event is one whole server-sent event.
type event struct {
	// content is the event as it came, with the empty line that ends it.
	content []byte
	// id is the number of the event, if hasID.
	id    int
	hasID bool
}

// eventReader divides a stream into events.
type eventReader struct {
	reader *bufio.Reader
}

const (
	eventBufferBytes = 4 << 10
	// mostEventBytes bounds one event.
	mostEventBytes = 1 << 20
)

func newEventReader(stream io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(stream, eventBufferBytes)}
}

// next returns the next whole event. It fails with io.EOF when the stream has
// ended between two events, and with io.ErrUnexpectedEOF within one.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.reader.ReadSlice('\n')
		e.content = append(e.content, line...)
		if len(e.content) > mostEventBytes {
			return event{}, &LongEventError{Bytes: mostEventBytes}
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
