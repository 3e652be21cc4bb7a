package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// wholeAnswer is an answer that has arrived whole.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// servePlain carries a request whose answer is passed on when it is whole.
func (v *visit) servePlain() {
	for {
		ticket, err := v.choose()
		if err != nil {
			v.giveUp(err, "NoRunner")
			return
		}
		answer, err := v.attemptPlain()
		if err == nil && !v.isRunnerFault(answer) {
			v.pass(ticket, answer)
			return
		}
		failure := err
		if failure == nil {
			failure = &StatusError{Runner: v.choice.Runner.ID, Status: answer.status}
		}
		v.settle(ticket, failure)
		again, reason := v.mayRetry(failure)
		if again {
			continue
		}
		if err == nil && mayPass(answer.status) {
			v.passFault(answer, reason)
			return
		}
		v.giveUp(failure, reason)
		return
	}
}

// isRunnerFault reports whether a whole answer says that the runner failed.
func (v *visit) isRunnerFault(answer wholeAnswer) bool {
	return answer.status >= http.StatusInternalServerError || !mayPass(answer.status)
}

// mayPass reports whether a caller may get a runner's status. Some promise that
// the request has not run, which the runner did not say.
func mayPass(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	default:
		return true
	}
}

func (v *visit) attemptPlain() (wholeAnswer, error) {
	ctx, cancel := v.attemptContext()
	defer cancel()
	answer, err := v.send(ctx)
	if err != nil {
		return wholeAnswer{}, err
	}
	if err := v.judge(answer); err != nil {
		v.discard(answer, err)
		return wholeAnswer{}, err
	}
	body, err := answer.ReadAll()
	answer.Close(err == nil)
	if err != nil {
		return wholeAnswer{}, err
	}
	return wholeAnswer{status: answer.Status, header: answer.Header, body: body}, nil
}

// discard ends an answer that the caller doesn't get. The connection of a
// rejection can be used again once its body has been read.
func (v *visit) discard(answer *upstream.Answer, failure error) {
	var rejected *RejectedError
	if !errors.As(failure, &rejected) {
		answer.Close(false)
		return
	}
	_, err := answer.ReadAll()
	answer.Close(err == nil)
}

// attemptContext bounds an attempt that may be made again elsewhere, so that a
// silent runner leaves time for it.
func (v *visit) attemptContext() (context.Context, context.CancelFunc) {
	if v.route.Kind != catalog.Idempotent || v.sent+1 >= v.route.MaxAttempts {
		return context.WithCancel(v.ctx)
	}
	wait := time.Duration(v.options.FirstEventShare * float64(v.timeLeft(v.Clock.Now())))
	return context.WithTimeoutCause(v.ctx, wait, &SilentError{Runner: v.choice.Runner.ID})
}

// pass gives the caller a runner's answer.
func (v *visit) pass(ticket *balance.Ticket, answer wholeAnswer) {
	v.write(answer)
	v.succeed(ticket, answer.status)
}

// passFault gives the caller a runner's answer that says that it failed.
func (v *visit) passFault(answer wholeAnswer, reason string) {
	v.apply(request.GivenUp)
	v.write(answer)
	v.ended(answer.status, "RunnerFailed", &NoRetryError{Reason: reason})
}

// NoRetryError says why a failed request was not sent again.
type NoRetryError struct{ Reason string }

// Error implements error.
func (e *NoRetryError) Error() string { return "not sent again: " + e.Reason }

func (v *visit) write(answer wholeAnswer) {
	v.copyHeader(answer.header)
	header := v.writer.Header()
	header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	v.writer.WriteHeader(answer.status)
	// A caller that has gone is seen by the context of its request.
	_, _ = v.writer.Write(answer.body)
}

// copyHeader sets the fields of a runner's answer. net/http must not guess the
// type of the content.
func (v *visit) copyHeader(from http.Header) {
	header := v.writer.Header()
	for name, values := range v.Codec.CallerHeader(from) {
		header[name] = values
	}
	if _, told := header["Content-Type"]; !told {
		header["Content-Type"] = nil
	}
}
