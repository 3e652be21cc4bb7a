package upstream

import (
	"errors"
	"io"
	"time"
)

const (
	// maxDiscardedBytes bounds the body that is read to keep the connection of an answer
	// that is not needed.
	maxDiscardedBytes = 16 << 10
	// maxDiscardTime bounds the time of that reading. It exceeds the time between the
	// header and a small body, which a runner may send separately.
	maxDiscardTime = 250 * time.Millisecond
)

// Discard ends the exchange of a valid answer whose body is not needed. It does not wait
// for the runner: a body that has not arrived is read in the background, within small
// bounds of bytes and time, so that the connection can be reused.
func (a *Answer) Discard() {
	if !a.detach() || a.response.Close || a.response.ContentLength > maxDiscardedBytes {
		a.pool.drop(a.connection)
		return
	}
	if a.isBuffered() {
		a.readRest()
		a.release(true)
		return
	}
	go a.discardInBackground()
}

// isBuffered reports whether the whole body has arrived. It returns false if the body
// has no length.
func (a *Answer) isBuffered() bool {
	length := a.response.ContentLength
	return length >= 0 && length <= int64(a.connection.reader.Buffered())
}

// discardInBackground reads the body and releases the connection. It ends within
// maxDiscardTime.
func (a *Answer) discardInBackground() {
	timer := a.pool.common.Clock.AfterFunc(maxDiscardTime, func() { _ = a.connection.raw.Close() })
	a.readRest()
	a.release(timer.Stop())
}

// readRest reads the body up to maxDiscardedBytes. release closes the connection if the
// body has not been read to its end.
func (a *Answer) readRest() {
	var buffer [1 << 10]byte
	for read := 0; read <= maxDiscardedBytes; {
		count, err := a.Read(buffer[:])
		read += count
		if err != nil {
			if !errors.Is(err, io.EOF) {
				a.pool.common.Count("Upstream.DiscardsFailed", 1)
			}
			return
		}
	}
}
