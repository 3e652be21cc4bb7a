package dispatch

import (
	"context"
	"errors"
	"net/http"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// attempt sends the request to one backend server. It returns nil if the response
// was complete.
func (f *inFlightRequest) attempt(target Target) error {
	next, err := f.machine.Apply(request.Event{Kind: request.AttemptBegan, Attempt: f.machine.Attempt() + 1})
	if err != nil {
		return err
	}
	f.machine = next
	a := f.takeAcceptedHedge()
	if a == nil {
		a = f.newAttempt(target)
	}
	defer a.cancel(nil)
	f.startAttempt(target, a)
	observed, err := f.exchange(a)
	f.settleHedge(err)
	f.reportAttempt(target, a.started, observed, err)
	if err != nil {
		f.recordFailure(target, err)
	}
	return err
}

// newAttempt returns an attempt that has not been sent.
func (f *inFlightRequest) newAttempt(target Target) *backendAttempt {
	a := &backendAttempt{target: target, started: f.Clock.Now()}
	a.ctx, a.cancel = context.WithCancelCause(f.ctx)
	f.Chooser.AttemptStarted(target, f.request)
	f.recordEvent("Dispatched", target.Name, "")
	return a
}

// recordFailure reports the failure of an attempt to the state machine.
func (f *inFlightRequest) recordFailure(target Target, err error) {
	var fault *backend.FaultError
	if errors.As(err, &fault) && !fault.MaybeWritten && !f.isHedgeWritten() {
		_ = f.apply(request.AttemptUnwritten)
		return
	}
	_ = f.apply(request.AttemptFailed)
	f.checkForCrash(target, f.attemptStarted, err)
}

// exchange sends the request and relays the response.
func (f *inFlightRequest) exchange(a *backendAttempt) (Observation, error) {
	response, err := f.send(a)
	if err != nil {
		return Observation{}, err
	}
	observed := Observation{Status: response.Status()}
	_ = f.apply(request.AnswerBegan)
	if f.isRetryableBusy(response) {
		response.Discard()
		return observed, &BusyError{Backend: a.target.Name, Status: observed.Status, RetryAfter: parseRetryAfter(response.Header())}
	}
	if err := f.checkContinuation(response, a.target, f.stream.begun()); err != nil {
		return observed, err
	}
	if observed.Status == http.StatusOK && f.expectsStream() && response.IsStream() {
		return f.relayStream(response, observed, a.started)
	}
	return f.relayNonStream(response, observed)
}

// checkContinuation ends an answer that is not a stream where only a stream can be relayed, and
// returns the failure. begun is true if the stream had begun when the attempt was made.
func (f *inFlightRequest) checkContinuation(response *backend.Answer, target Target, begun bool) error {
	switch {
	case response.Status() != http.StatusOK && begun:
		response.Discard()
		return &ContinuationStatusError{Backend: target.Name, Status: response.Status()}
	case response.Status() != http.StatusOK, !f.expectsStream(), response.IsStream():
		return nil
	case f.request.Stream || begun:
		return response.Reject()
	}
	return nil
}

// send returns the answer of an attempt. A hedge has been sent already.
func (f *inFlightRequest) send(a *backendAttempt) (*backend.Answer, error) {
	if a.answer != nil {
		return a.answer, nil
	}
	return f.Client.Send(a.ctx, f.newCall(a.target, f.machine.Attempt()))
}

// newCall returns the call of package backend for an attempt.
func (f *inFlightRequest) newCall(target Target, attempt int) backend.Call {
	return backend.Call{
		Backend: target.Name, Address: target.Address, ID: f.request.ID,
		Method: f.request.Method, Path: f.request.Path,
		Header: backendHeader(f.request.Header), Body: f.stream.nextBody(),
		Idempotent: f.request.Idempotent, Fresh: attempt > 1, OnSilence: f.onSilence(attempt),
		Stream: f.expectsStream(), Deadline: f.request.Deadline,
	}
}

// expectsStream reports whether the request asks the backend server for a stream
// of events.
func (f *inFlightRequest) expectsStream() bool {
	return f.request.IsModelCall() && (f.request.Stream || f.stream.collectsStream())
}

// isRetryableBusy reports whether the status means that a model engine is busy and
// another engine should be tried. Responses of plain services and responses to
// non-idempotent requests are relayed as they are.
func (f *inFlightRequest) isRetryableBusy(response *backend.Answer) bool {
	if !f.request.IsModelCall() || !f.request.Idempotent {
		return false
	}
	return response.Status() == http.StatusTooManyRequests || response.Status() == http.StatusServiceUnavailable
}

// relayNonStream relays a non-streaming response.
func (f *inFlightRequest) relayNonStream(response *backend.Answer, observed Observation) (Observation, error) {
	body, err := response.ReadAll()
	if err != nil {
		return observed, err
	}
	if err := f.apply(request.AnswerWhole); err != nil {
		return observed, err
	}
	f.Suspects.RecordAnswer(f.fingerprint, f.Clock.Now())
	if f.request.IsModelCall() {
		observed = observed.withUsage(backend.ParseUsage(body))
	}
	if f.writeHead(observed.Status, callerHeader(response.Header())) == nil && len(body) > 0 {
		_ = f.writeChunk(body)
	}
	return observed, nil
}

// withUsage returns a copy with the token counts.
func (o Observation) withUsage(usage *backend.Usage) Observation {
	if usage == nil {
		return o
	}
	o.PromptTokens = usage.PromptTokens
	o.CachedTokens = usage.Cached()
	o.CompletionTokens = usage.CompletionTokens
	return o
}
