package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// bufferedAnswer is a response whose body has been read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	// source counts the body against the budget for answers until its Release. It is nil if there is
	// no answer.
	source *upstream.Answer
}

// drop releases an answer that is not forwarded.
func (b bufferedAnswer) drop() {
	if b.source != nil {
		b.source.Release()
	}
}

// servePlain serves a request whose response is forwarded only once it is complete,
// so that a truncated response can be retried or replaced by an error.
func (x *exchange) servePlain() {
	a, err := x.choose()
	if err != nil {
		x.giveUp(err, reasonOf(err))
		return
	}
	for a != nil {
		a = x.servePlainAttempt(a)
	}
}

// servePlainAttempt makes an attempt. It returns the next one, or nil if the caller has got a
// response.
func (x *exchange) servePlainAttempt(a *attempt) *attempt {
	answer, failure := x.attemptPlain(a)
	hasAnswer := failure == nil
	if hasAnswer && !isRunnerFault(answer.status) {
		x.forwardAnswer(a, answer)
		return nil
	}
	if hasAnswer {
		failure = &StatusError{Runner: x.choice.Runner.ID, Status: answer.status}
	}
	x.recordFailure(a, failure)
	again, reason := x.mayRetry(failure)
	if again {
		next, err := x.choose()
		if err == nil {
			answer.drop()
			return next
		}
		failure, reason = err, reasonOf(err)
	}
	if hasAnswer {
		x.forwardFailure(answer, reason)
		return nil
	}
	x.giveUp(failure, reason)
	return nil
}

// isRunnerFault reports whether a status indicates a failure of the runner.
func isRunnerFault(status int) bool {
	return status >= http.StatusInternalServerError || !mayForward(status)
}

// mayForward reports whether a runner's status may be forwarded to the caller. Some
// statuses imply that the request has not run, which the runner did not confirm.
func mayForward(status int) bool { return !saysNotRun(status) }

func (x *exchange) attemptPlain(a *attempt) (bufferedAnswer, error) {
	defer a.cancel(nil)
	x.begin(a)
	watchdog := x.startIdleWatchdog(a)
	defer watchdog.stop()
	o, err := x.awaitOpening(a)
	if err != nil {
		return bufferedAnswer{}, err
	}
	return *o.buffered, nil
}

// readAnswer reads a response completely and closes it.
func (x *exchange) readAnswer(a *attempt, answer *upstream.Answer) (bufferedAnswer, error) {
	body, err := answer.ReadAll()
	answer.Close(err == nil)
	if err != nil {
		return bufferedAnswer{}, x.readFailure(a, err)
	}
	return bufferedAnswer{status: answer.Status, header: answer.Header, body: body, source: answer}, nil
}

// readFailure returns the error for a response that could not be read. Its cause is that
// of the end of the attempt's context, if that has ended.
func (x *exchange) readFailure(a *attempt, err error) error {
	if cause := context.Cause(a.ctx); cause != nil {
		err = cause
	}
	var invalid *upstream.InvalidAnswerError
	if errors.As(err, &invalid) {
		return err
	}
	return &upstream.InvalidAnswerError{Address: a.choice.Runner.Address, Cause: err}
}

// discard closes a response that is not forwarded. The request goes on without waiting
// for its body. The connection can be reused if the response belongs to the request.
func (x *exchange) discard(answer *upstream.Answer, failure error) {
	var rejected *RejectedError
	var failed *StatusError
	if errors.As(failure, &rejected) || errors.As(failure, &failed) {
		answer.Discard()
		return
	}
	answer.Close(false)
}

// forwardAnswer sends a runner's response to the caller.
func (x *exchange) forwardAnswer(a *attempt, answer bufferedAnswer) {
	if answer.status < http.StatusMultipleChoices && x.route.Kind != catalog.Stream {
		x.observeResponse(x.Clock.Now())
	}
	isDelivered := x.write(answer)
	x.succeed(a, answer.status)
	abortUnless(isDelivered)
}

// forwardFailure sends the caller a runner's response that reports a failure.
func (x *exchange) forwardFailure(answer bufferedAnswer, reason string) {
	x.apply(request.GivenUp)
	x.returnRetry()
	isDelivered := x.write(answer)
	x.recordEnd(answer.status, "RunnerFailed", &NoRetryError{Reason: reason})
	abortUnless(isDelivered)
}

// abortUnless closes the caller's connection if it did not take its answer.
func abortUnless(isDelivered bool) {
	if !isDelivered {
		panic(http.ErrAbortHandler)
	}
}

// NoRetryError reports why a failed request was not retried.
type NoRetryError struct{ Reason string }

// Error implements error.
func (e *NoRetryError) Error() string { return "not retried: " + e.Reason }

// write sends the caller an answer. It returns false if the caller took it too slowly.
func (x *exchange) write(answer bufferedAnswer) bool {
	defer answer.drop()
	x.releaseBodyEarly()
	x.copyHeader(answer.header)
	header := x.writer.Header()
	header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	x.writer.WriteHeader(answer.status)
	return x.deliver(answer)
}

// copyHeader sets the header fields of a runner's response. A missing Content-Type
// is set to nil so that net/http does not guess one.
func (x *exchange) copyHeader(from http.Header) {
	header := x.writer.Header()
	for name, values := range x.Codec.CallerHeader(from) {
		header[name] = values
	}
	if _, found := header["Content-Type"]; !found {
		header["Content-Type"] = nil
	}
}
