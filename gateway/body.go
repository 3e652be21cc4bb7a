package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/callerserver"
)

// readBody reads the body of the request. A body that is too long, or does not fit beside those of
// other requests, is refused before it is read if its length is announced.
func (x *exchange) readBody() *Refusal {
	x.body = x.Bodies.Open(x.customer.Name)
	body := x.newPacedBody()
	content, err := x.receiveBody(body)
	if body.stop() {
		err = &SlowCallerError{}
	}
	if dropped := x.body.Settle(); dropped != nil {
		err = dropped
	}
	if err != nil {
		x.body.Close()
		return x.bodyRefusal(err)
	}
	x.call.Body = content
	return nil
}

// receiveBody returns the body of the request.
func (x *exchange) receiveBody(body io.ReadCloser) ([]byte, error) {
	limit := int64(x.catalog.Limits().MaxBodyBytes)
	length := x.request.ContentLength
	switch {
	case limit > 0 && length > limit:
		return nil, &http.MaxBytesError{Limit: limit}
	case length < 0 && limit > 0:
		return x.receiveChunks(http.MaxBytesReader(x.writer, body, limit))
	case length < 0:
		return x.receiveChunks(body)
	}
	if err := x.body.Resize(int(length)); err != nil {
		return nil, err
	}
	content := make([]byte, length)
	_, err := io.ReadFull(body, content)
	return content, err
}

// firstChunkBytes is the initial capacity of the buffer for a body whose length is not announced.
const firstChunkBytes = 4 << 10

// receiveChunks reads a body whose length is not announced. It counts its buffer as that grows.
func (x *exchange) receiveChunks(body io.Reader) ([]byte, error) {
	content := make([]byte, 0, firstChunkBytes)
	for {
		if len(content) == cap(content) {
			grown, err := x.growBody(content)
			if err != nil {
				return nil, err
			}
			content = grown
		}
		count, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// growBody returns a body in a buffer of twice the size. Both buffers count while it is copied.
func (x *exchange) growBody(content []byte) ([]byte, error) {
	size := 2 * cap(content)
	if err := x.body.Resize(cap(content) + size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(content), size)
	copy(grown, content)
	return grown, x.body.Resize(size)
}

// bodyRefusal returns the error response for a body that could not be read.
func (x *exchange) bodyRefusal(err error) *Refusal {
	var tooLarge *http.MaxBytesError
	var noRoom *buffer.NoRoomError
	var dropped *buffer.DroppedError
	switch {
	case errors.As(err, &tooLarge), errors.As(err, &noRoom) && !noRoom.FitsLater:
		return newRefusal(http.StatusRequestEntityTooLarge, "LongBody", err).withUnreadBody()
	case noRoom != nil:
		return unavailable("NoRoomForBody", retryAfterNoRoom, err).withUnreadBody()
	case isSlowCaller(err), errors.As(err, &dropped):
		return newRefusal(http.StatusRequestTimeout, "SlowBody", err).withUnreadBody()
	case callerserver.IsStopped(x.request.Context()):
		return unavailable("Stopping", retryAfterStop, err)
	}
	return newRefusal(http.StatusBadRequest, "BrokenBody", err)
}

// releaseBody drops the body once no attempt needs it.
func (x *exchange) releaseBody() {
	x.call.Body = nil
	x.body.Close()
}

// releaseBodyEarly drops the body when the answer is whole, if no other attempt can use it.
func (x *exchange) releaseBodyEarly() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.attempts == 1 {
		x.releaseBody()
	}
}

// maxUnreadBodyTime bounds how long the body of a refused request is read, so that a caller that
// reads no answer before it has sent its body gets one.
const maxUnreadBodyTime = time.Second

// skipBody sends the refusal and reads the rest of the body, of which nothing is kept. The connection
// closes afterward.
func (x *exchange) skipBody() {
	controller := http.NewResponseController(x.writer)
	if controller.Flush() != nil {
		return
	}
	if controller.SetReadDeadline(x.Clock.Now().Add(maxUnreadBodyTime)) != nil {
		return
	}
	// An error means that the time is over or the caller has left.
	_, _ = io.Copy(io.Discard, x.request.Body)
}
