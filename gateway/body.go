package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/intake"
)

// readBody reads the body of the request. A body that is too long, or does not fit beside those of
// other requests, is refused before it is read if its length is announced.
func (x *exchange) readBody() *Refusal {
	x.body = x.Bodies.Open(x.customer.Name)
	body := x.newPacedBody()
	content, err := intake.Read(intake.Request{
		Content: body, Length: x.request.ContentLength, LimitBytes: int64(x.catalog.Limits().MaxBodyBytes),
	}, x.body)
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
// closes afterward, or before if it has to make room for others.
func (x *exchange) skipBody() {
	controller := http.NewResponseController(x.writer)
	if controller.SetReadDeadline(x.Clock.Now().Add(maxUnreadBodyTime)) != nil {
		return
	}
	// Before the caller has the refusal, so that its next connection finds the room.
	callerserver.StallBody(x.request.Context(), func() { _ = controller.SetReadDeadline(longAgo) })
	if controller.Flush() != nil {
		return
	}
	// An error means that the time is over or the caller has left.
	_, _ = io.Copy(io.Discard, x.request.Body)
}
