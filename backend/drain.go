package backend

import (
	"context"
	"errors"
	"io"
	"time"
)

const (
	// drainTimeout bounds the time for the bytes that follow the end event of a stream
	// or the header of a discarded answer.
	drainTimeout = time.Second
	// maxDiscardedBytes bounds the body of a discarded answer that is read.
	maxDiscardedBytes = 64 << 10
)

// Discard ends an exchange whose body is not needed. It returns at once.
func (a *Answer) Discard() { a.drain(a.answer, maxDiscardedBytes) }

// drain reads the rest of a body in the background and ends the exchange. The connection
// returns to the pool if at most limit bytes are left and arrive in time. Otherwise it is
// closed, so that trailing bytes cannot be taken for the answer to another request.
func (a *Answer) drain(body io.Reader, limit int64) {
	a.silence.stop()
	a.detach()
	timer := a.client.Clock.AfterFunc(drainTimeout, func() { a.cancel(&DrainTimeoutError{}) })
	stopWatching := context.AfterFunc(a.client.ctx, func() { a.cancel(&ClientClosedError{}) })
	a.client.drains.Go(func() {
		defer timer.Stop()
		defer stopWatching()
		_, err := io.CopyN(io.Discard, body, limit+1)
		isComplete := errors.Is(err, io.EOF)
		if !isComplete {
			a.client.Count("BackendConnectionsNotDrained", 1)
		}
		a.end(isComplete)
	})
}
