package upstream

import (
	"bytes"
	"net"
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
// background. Once the request has been written, its OnWritten is called, if it is not nil.
// The body is not copied.
func (c *connection) write(request Request) (*writing, error) {
	w := &writing{ended: make(chan struct{})}
	head := encodeHead(request)
	content := net.Buffers{head, request.Body}
	if len(head)+len(request.Body) > maxInlineWrite {
		go func() {
			_, err := content.WriteTo(c.raw)
			if err == nil && request.OnWritten != nil {
				request.OnWritten()
			}
			w.end(err)
		}()
		return w, nil
	}
	count, err := content.WriteTo(c.raw)
	if err != nil {
		return nil, c.writeFailure(count, err)
	}
	if request.OnWritten != nil {
		request.OnWritten()
	}
	w.end(nil)
	return w, nil
}

// writeFailure returns the error for a failed write. Its type depends on whether the
// kernel accepted any byte.
func (c *connection) writeFailure(count int64, err error) error {
	if count == 0 {
		return &UnwrittenError{Address: c.address, Cause: err}
	}
	return c.invalidAnswer(err)
}

// encodeHead serializes the head of a request. The target is not normalized.
func encodeHead(request Request) []byte {
	var head bytes.Buffer
	head.Grow(headerCapacity)
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(&head)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// headerCapacity is the initial buffer capacity for the header of a request.
const headerCapacity = 1 << 10
