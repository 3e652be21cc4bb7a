package upstream

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxInlineWrite is the largest request that is written completely before its answer
// is read. A longer one is written in the background, since a runner that answers it
// early need not read the rest.
const maxInlineWrite = 8 << 10

// maxWriteTime bounds the time from the end of a body that ends with its connection to the end of
// the writing of its request. A runner that ends its answer first reads the rest at once; the
// network or a pause may take about a second.
const maxWriteTime = 1500 * time.Millisecond

// writing is the writing of a request.
type writing struct {
	// ended is closed when the writing has ended, and err is set before. It is nil if the kernel
	// has taken the whole request.
	ended chan struct{}
	err   error
}

func (w *writing) end(err error) {
	w.err = err
	close(w.ended)
}

// isComplete reports whether the request was written completely.
func (w *writing) isComplete() bool {
	select {
	case <-w.ended:
		return w.err == nil
	default:
		return false
	}
}

// await waits for the end of the writing, and returns its error. After maxWriteTime, it calls
// closeConnection, which ends the writing, and fails with a *WriteTimeoutError.
func (w *writing) await(clock clockwork.Clock, closeConnection func()) error {
	if w.isComplete() {
		return nil
	}
	timer := clock.AfterFunc(maxWriteTime, closeConnection)
	<-w.ended
	if !timer.Stop() {
		return &WriteTimeoutError{Timeout: maxWriteTime}
	}
	return w.err
}

// write writes a request up to maxInlineWrite directly and a longer one in the
// background. Once the request has been written, onWritten is called, if it is not nil.
func (c *connection) write(content []byte, onWritten func()) (*writing, error) {
	w := &writing{ended: make(chan struct{})}
	if len(content) > maxInlineWrite {
		go func() {
			_, err := c.raw.Write(content)
			if err == nil && onWritten != nil {
				onWritten()
			}
			w.end(err)
		}()
		return w, nil
	}
	count, err := c.raw.Write(content)
	if err != nil {
		return nil, c.writeFailure(count, err)
	}
	if onWritten != nil {
		onWritten()
	}
	w.end(nil)
	return w, nil
}

// writeFailure returns the error for a failed write. Its type depends on whether the
// kernel accepted any byte.
func (c *connection) writeFailure(count int, err error) error {
	if count == 0 {
		return &UnwrittenError{Address: c.address, Cause: err}
	}
	return c.invalidAnswer(err)
}

// encode serializes a request. The target is not normalized.
func encode(request Request) []byte {
	var content bytes.Buffer
	content.Grow(len(request.Body) + headerCapacity)
	content.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(&content)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		content.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	content.WriteString("\r\n")
	content.Write(request.Body)
	return content.Bytes()
}

// headerCapacity is the initial buffer capacity for the header of a request.
const headerCapacity = 1 << 10
