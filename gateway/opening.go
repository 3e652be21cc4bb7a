package gateway

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// opening is the part of a runner's response that shows that the runner has accepted the
// request: the first event of a stream, or a whole response that is no stream.
type opening struct {
	// buffered is a whole response, or nil for a stream.
	buffered *bufferedAnswer
	// answer is the response of a stream, and events reads its events.
	answer *upstream.Answer
	events *eventReader
	// first is the first event, or the lines of a stream without events, if end is nil.
	// Otherwise the stream has ended without any, and end is io.EOF.
	first event
	end   error
}

// drop gives back a response that is not forwarded.
func (o opening) drop() {
	if o.buffered != nil {
		o.buffered.drop()
	}
	if o.answer != nil {
		o.answer.Close(false)
	}
}

// awaitOpening returns the opening of the current attempt.
func (x *exchange) awaitOpening(a *attempt) (opening, error) {
	if a.opened == nil {
		return x.open(a)
	}
	<-a.opened
	return a.opening, a.failure
}

// open makes an attempt until its runner has accepted the request or the attempt has
// failed.
func (x *exchange) open(a *attempt) (opening, error) {
	answer, err := x.receive(a)
	if err != nil {
		return opening{}, err
	}
	if x.route.Kind == catalog.Stream && answer.Status == http.StatusOK {
		return x.openStream(a, answer)
	}
	x.excludeFromMoves(a)
	if x.isDiscarded(a, answer.Status) {
		err := &StatusError{Runner: a.choice.Runner.ID, Status: answer.Status}
		x.discard(answer, err)
		return opening{}, err
	}
	x.recordHead(a)
	buffered, err := x.readAnswer(a, answer)
	if err != nil {
		return opening{}, err
	}
	if err := x.checkEnd(a, answer); err != nil {
		buffered.drop()
		return opening{}, err
	}
	x.observeAnswer(a, answer.Status)
	return opening{buffered: &buffered}, nil
}

// isDiscarded reports whether a response is certain not to be forwarded: its status says
// what its runner did not confirm, or the request can be sent again, or the caller has a part
// of the stream already.
func (x *exchange) isDiscarded(a *attempt, status int) bool {
	if !mayForward(status) {
		return true
	}
	if x.route.Kind != catalog.Stream {
		return false
	}
	return isRunnerFault(status) && x.route.Repeatable() || a.lastEvent > x.call.LastEvent
}

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// checkMediaType rejects a response that says that it is no stream, or that does not say so as the
// one does that it is to continue.
func checkMediaType(a *attempt, header http.Header) error {
	value, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	mediaType := strings.TrimSpace(value)
	a.isTyped = strings.EqualFold(mediaType, eventStreamType)
	if a.isTyped || mediaType == "" && !a.continuesTyped {
		return nil
	}
	return &NotAStreamError{Runner: a.choice.Runner.ID, MediaType: mediaType}
}

// openStream reads the first event of a stream.
func (x *exchange) openStream(a *attempt, answer *upstream.Answer) (opening, error) {
	if err := checkMediaType(a, answer.Header); err != nil {
		answer.Close(false)
		return opening{}, err
	}
	o := opening{answer: answer, events: newEventReader(answer)}
	o.first, o.end = o.events.next()
	err := o.end
	hasEnded := errors.Is(err, io.EOF) || o.first.isRest
	switch {
	case hasEnded && !answer.IsDelimited():
		// The runner may have crashed as well as ended a stream without events.
		err = x.readFailure(a, io.ErrUnexpectedEOF)
	case hasEnded && o.first.hasFields:
		err = x.readFailure(a, &FieldsWithoutEventError{})
	case hasEnded:
		return o, nil
	case err != nil:
		err = x.readFailure(a, err)
	default:
		err = x.checkFirstEvent(a, o.first)
	}
	if err != nil {
		answer.Close(false)
		return opening{}, err
	}
	x.observeFirstEvent(a)
	return o, nil
}

// checkFirstEvent rejects a first event that does not follow the last one that the caller
// has received.
func (x *exchange) checkFirstEvent(a *attempt, e event) error {
	if err := checkOrder(e, a.lastEvent); err != nil {
		return &upstream.InvalidAnswerError{Address: a.choice.Runner.Address, Cause: err}
	}
	return nil
}
