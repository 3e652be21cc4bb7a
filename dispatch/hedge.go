package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/backend"
)

// backendAttempt is an attempt at one backend server. It is the current attempt of its
// request, or a hedge: a second attempt that is made while the backend server of the
// current one is silent. The current attempt goes on meanwhile; the first one that
// delivers data wins, and the other one is cancelled.
type backendAttempt struct {
	target  Target
	started time.Time
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// call is set for a hedge.
	call backend.Call
	// continues is true for a hedge of a stream that has begun.
	continues bool
	// answer is set when the backend server of a hedge has sent the header of an answer.
	answer *backend.Answer
	// done is closed when a hedge is accepted or has failed.
	done chan struct{}
}

// failedHedge is a hedge whose backend server did not run the request to an answer.
type failedHedge struct {
	target  Target
	started time.Time
	cause   error
}

// onSilence returns the function that is called while the backend server of an attempt
// is silent.
func (f *inFlightRequest) onSilence(attempt int) func() {
	if f.request.Deadline.IsZero() {
		// Only the silence timeout ends an attempt without a deadline.
		return nil
	}
	return func() { f.hedgeAttempt(attempt) }
}

// hedgeAttempt makes a hedge if one can be made now.
func (f *inFlightRequest) hedgeAttempt(attempt int) {
	h := f.reserveHedge(attempt)
	if h == nil {
		return
	}
	defer close(h.done)
	if !f.secureHedge(h) {
		f.dropHedge(h)
		return
	}
	f.Count("RequestsHedged", 1)
	f.recordEvent("Hedged", h.target.Name, "")
	observed, err := f.sendHedge(h)
	if err == nil && f.acceptHedge(h) {
		return
	}
	if err == nil {
		h.answer.Close()
		err = &HedgeLostError{Backend: h.target.Name}
		observed.Fault = backend.Cancelled
	}
	f.reportAttempt(h.target, h.started, observed, err)
	f.failHedge(h, err)
}

// reserveHedge returns a hedge without a target, or nil if none may be made.
func (f *inFlightRequest) reserveHedge(attempt int) *backendAttempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelAttempt == nil || f.attemptNumber != attempt || f.hedge != nil || f.moveTarget != nil {
		return nil
	}
	if f.stream.complete() {
		// Only the end of the stream is missing, which needs no backend server.
		f.cancelAttempt(&backend.SilentError{})
		return nil
	}
	if !f.mayHedge() {
		return nil
	}
	h := &backendAttempt{done: make(chan struct{}), continues: f.stream.begun()}
	h.ctx, h.cancel = context.WithCancelCause(f.ctx)
	h.call = f.newCall(Target{}, attempt+1)
	f.hedge = h
	return h
}

// mayHedge reports whether the request may be sent to a further backend server.
func (f *inFlightRequest) mayHedge() bool {
	return f.request.Idempotent && f.stream.resumable() && f.ctx.Err() == nil && f.retries+1 < f.options.MaxAttempts
}

// secureHedge chooses the backend server of a hedge and charges the retry budget.
func (f *inFlightRequest) secureHedge(h *backendAttempt) bool {
	now := f.Clock.Now()
	if f.Suspects.Refused(f.fingerprint, now) {
		return false
	}
	target, err := f.chooseIsolated(f.hedgeExcluded(), now)
	if err != nil {
		return false
	}
	if !f.Budget.Withdraw(now) {
		f.releaseTarget(target)
		return false
	}
	f.retries++
	h.target, h.started = target, now
	h.call.Backend, h.call.Address = target.Name, target.Address
	f.Chooser.AttemptStarted(target, f.request)
	return true
}

// hedgeExcluded returns the backend servers that the request was sent to.
func (f *inFlightRequest) hedgeExcluded() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	excluded := append(slices.Clone(f.excluded), f.target.Name)
	for _, failed := range f.failedHedges {
		excluded = append(excluded, failed.target.Name)
	}
	return excluded
}

// sendHedge sends the request and waits for the first data. A status that reports a
// failure, or an answer that does not continue the stream, counts as a rejection, since
// the current attempt may still succeed.
func (f *inFlightRequest) sendHedge(h *backendAttempt) (Observation, error) {
	response, err := f.Client.Send(h.ctx, h.call)
	if err != nil {
		return Observation{}, err
	}
	observed := Observation{Status: response.Status()}
	if observed.Status == http.StatusTooManyRequests || observed.Status >= http.StatusInternalServerError {
		response.Discard()
		return observed, &BusyError{Backend: h.target.Name, Status: observed.Status, RetryAfter: parseRetryAfter(response.Header())}
	}
	if err := f.checkContinuation(response, h.target, h.continues); err != nil {
		return observed, err
	}
	h.answer = response
	return observed, response.AwaitData()
}

// acceptHedge cancels the current attempt in favor of the hedge. It returns false if the
// current attempt has delivered data, or the backend server of the hedge is leaving.
func (f *inFlightRequest) acceptHedge(h *backendAttempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.ctx.Err() != nil || f.moveTarget != nil || f.leaving[h.target.Name] {
		return false
	}
	f.hedge, f.acceptedHedge, f.hedgeWritten = nil, h, true
	if f.cancelAttempt != nil {
		f.cancelAttempt(&backend.SilentError{})
	}
	return true
}

// dropHedge removes a hedge that was not sent.
func (f *inFlightRequest) dropHedge(h *backendAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.cancel(nil)
	f.hedge = nil
}

// failHedge removes a hedge that was sent, so that another one can be made. The backend
// server of a hedge that was cancelled may be chosen again.
func (f *inFlightRequest) failHedge(h *backendAttempt, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hedge = nil
	f.hedgeWritten = true
	if h.ctx.Err() != nil {
		f.retries--
		return
	}
	h.cancel(nil)
	f.failedHedges = append(f.failedHedges, failedHedge{target: h.target, started: h.started, cause: err})
}

// takeData reports whether data of the current attempt may be used, and cancels its
// hedge. It returns false if the hedge has delivered data before. The caller holds f.mu.
func (f *inFlightRequest) takeData() bool {
	if f.acceptedHedge != nil {
		return false
	}
	if f.hedge != nil {
		f.hedge.cancel(&HedgeLostError{Backend: f.target.Name})
	}
	return true
}

// isHedgeWritten reports whether a hedge may have been written.
func (f *inFlightRequest) isHedgeWritten() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hedgeWritten
}

// settleHedge waits for the hedge of an attempt that has ended. After a failed attempt,
// the hedge may still be accepted.
func (f *inFlightRequest) settleHedge(failure error) {
	if h := f.endAttempt(failure); h != nil {
		<-h.done
	}
	f.mu.Lock()
	failed := f.failedHedges
	f.failedHedges = nil
	f.mu.Unlock()
	for _, hedge := range failed {
		f.excluded = append(f.excluded, hedge.target.Name)
		f.checkForCrash(hedge.target, hedge.started, hedge.cause)
	}
}

// currentAcceptedHedge returns the hedge that the next attempt goes on with, or nil.
func (f *inFlightRequest) currentAcceptedHedge() *backendAttempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acceptedHedge
}

// takeAcceptedHedge returns and clears the accepted hedge; nil if there is none.
func (f *inFlightRequest) takeAcceptedHedge() *backendAttempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.acceptedHedge
	f.acceptedHedge = nil
	return h
}

// releaseHedge cancels an accepted hedge whose answer is not needed.
func (f *inFlightRequest) releaseHedge() {
	h := f.takeAcceptedHedge()
	if h == nil {
		return
	}
	h.answer.Close()
	h.cancel(nil)
	f.Chooser.AttemptEnded(h.target, f.request, Observation{Fault: backend.Cancelled})
}
