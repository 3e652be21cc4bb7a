package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// inFlightRequest is a request that has not ended. Except for the fields guarded
// by mu, only the goroutine of Do uses it.
type inFlightRequest struct {
	*Dispatcher
	request     request.Request
	fingerprint uint64
	writer      Writer
	machine     request.Machine
	// callerCtx ends when the caller disconnects.
	callerCtx context.Context
	// ctx ends at the deadline. It also ends when the caller disconnects, unless
	// the answer is stored for other requests with the same key.
	ctx      context.Context
	cancel   context.CancelCauseFunc
	deadline clockwork.Timer
	// claimResult is set if the request needs a claim.
	claimResult ClaimResult
	// pending is the pending answer for other requests with the same key, or nil.
	pending *answer.PendingAnswer
	// saved is the response as it was written to the caller; it has no body if
	// pending is nil.
	saved answer.Answer
	// savedTruncated is true when saved lacks the end of the body.
	savedTruncated bool
	// excluded are the backend servers on which an attempt failed.
	excluded []string
	// retries counts the attempts that were charged to the retry budget.
	retries int
	// stream is the part of a streamed response that was received so far.
	stream *streamState
	// headWritten is true when the Writer's Head was called.
	headWritten bool

	mu sync.Mutex
	// target is the backend server of the current attempt.
	target Target
	// attemptStarted is when the current attempt was started.
	attemptStarted time.Time
	// cancelAttempt cancels the current attempt; it is nil between attempts.
	cancelAttempt context.CancelCauseFunc
	// movable is true when another backend server can continue the current
	// attempt.
	movable bool
	// moveTarget is the target selected by a move; nil once the next attempt uses
	// it.
	moveTarget *Target
	// crashedBackend is the backend server of the last suspected crash.
	crashedBackend Target
	// attemptNumber counts the attempts that were started.
	attemptNumber int
	// hedge is the hedge of the current attempt; nil while there is none.
	hedge *backendAttempt
	// acceptedHedge is the hedge that the next attempt goes on with, or nil.
	acceptedHedge *backendAttempt
	// failedHedges are the failed hedges of the current attempt.
	failedHedges []failedHedge
	// hedgeWritten is true when a hedge may have been written.
	hedgeWritten bool
	// leaving holds the backend servers that the request must move away from.
	leaving map[string]bool
}

func newInFlightRequest(d *Dispatcher, r request.Request, w Writer) *inFlightRequest {
	return &inFlightRequest{
		Dispatcher:  d,
		request:     r,
		fingerprint: r.Fingerprint(),
		writer:      w,
		machine:     request.NewMachine(r),
		stream:      newStreamState(r, d.options.MaxTextBytes),
		leaving:     make(map[string]bool),
	}
}

// setContexts sets the contexts and the timer that end the request.
func (f *inFlightRequest) setContexts(callerCtx context.Context) {
	f.callerCtx = callerCtx
	parent := callerCtx
	if f.request.NeedsClaim() {
		parent = context.WithoutCancel(callerCtx)
	}
	f.ctx, f.cancel = context.WithCancelCause(parent)
	if f.request.Deadline.IsZero() {
		return
	}
	cancel := f.cancel
	f.deadline = f.Clock.AfterFunc(f.request.Deadline.Sub(f.Clock.Now()), func() { cancel(&DeadlineError{}) })
}

// close releases the resources of the request.
func (f *inFlightRequest) close() {
	if f.deadline != nil {
		f.deadline.Stop()
	}
	f.releaseHedge()
	f.cancel(nil)
	if next := f.takeMoveTarget(); next != nil {
		f.releaseTarget(*next)
	}
	f.unregister(f)
}

// run drives the request to its outcome.
func (f *inFlightRequest) run() Result {
	if err := f.register(f); err != nil {
		return f.giveUp(err)
	}
	f.Budget.Deposit(f.Clock.Now())
	if f.request.NeedsClaim() {
		if result, ended := f.acquireClaim(); ended {
			return result
		}
	}
	for {
		target, err := f.choose()
		if err != nil {
			return f.giveUp(err)
		}
		err = f.attempt(target)
		if err == nil {
			return f.answeredResult()
		}
		if err := f.prepareRetry(target, err); err != nil {
			return f.giveUp(err)
		}
	}
}

// choose returns the target of the next attempt.
func (f *inFlightRequest) choose() (Target, error) {
	if err := f.stopError(); err != nil {
		return Target{}, err
	}
	if h := f.currentAcceptedHedge(); h != nil {
		return h.target, nil
	}
	now := f.Clock.Now()
	if f.Suspects.Refused(f.fingerprint, now) {
		f.Count("RequestsSuspected", 1)
		return Target{}, &SuspectError{Fingerprint: f.fingerprint}
	}
	if next := f.takeMoveTarget(); next != nil {
		return *next, nil
	}
	target, err := f.chooseIsolated(f.excluded, now)
	var none *NoBackendError
	if errors.As(err, &none) && len(f.excluded) > 0 {
		// Backend servers that failed before may work on a new connection.
		return f.Chooser.Choose(f.request, f.leavingBackends(), now)
	}
	return target, err
}

// stopError returns why the request must not be attempted again, or nil.
func (f *inFlightRequest) stopError() error {
	if f.ctx.Err() != nil {
		return f.contextError()
	}
	if f.callerCtx.Err() != nil {
		return f.callerError()
	}
	return nil
}

// callerError returns why the caller's context has ended.
func (f *inFlightRequest) callerError() error {
	if !callerserver.IsStopped(f.callerCtx) {
		return &CallerGoneError{Cause: context.Cause(f.callerCtx)}
	}
	if f.machine.IsProvenNotRun() {
		return &DrainingError{}
	}
	return &DeadlineError{}
}

// contextError returns why ctx has ended.
func (f *inFlightRequest) contextError() error {
	cause := context.Cause(f.ctx)
	var deadline *DeadlineError
	if errors.As(cause, &deadline) {
		return deadline
	}
	if callerserver.IsStopped(f.ctx) {
		return f.callerError()
	}
	return &CallerGoneError{Cause: cause}
}

// prepareRetry returns nil when the request may be attempted again. It waits for
// the backoff.
func (f *inFlightRequest) prepareRetry(target Target, failure error) error {
	if f.ctx.Err() != nil {
		return f.contextError()
	}
	var collect *CollectError
	if errors.As(failure, &collect) {
		// This happens at most once per request. It is not a failure, so it is
		// not charged to the retry budget.
		f.stream.disableCollecting()
		return nil
	}
	if !f.machine.MayAttempt() || !f.stream.resumable() {
		return &BrokenStreamError{Backend: target.Name, Cause: failure}
	}
	if f.currentAcceptedHedge() == nil && !f.isLeaving(target.Name) && !f.isFreeContinuation(failure) {
		if err := f.chargeRetry(failure); err != nil {
			return err
		}
	}
	f.excluded = append(f.excluded, target.Name)
	kind := "Retried"
	if f.stream.tokens > 0 {
		kind = "Resumed"
	}
	f.recordEvent(kind, target.Name, failure.Error())
	f.Count("Requests"+kind, 1)
	return nil
}

// chargeRetry withdraws a retry from the budget and waits for the backoff.
func (f *inFlightRequest) chargeRetry(failure error) error {
	f.retries++
	now := f.Clock.Now()
	if f.retries >= f.options.MaxAttempts || !f.Budget.Withdraw(now) {
		return &RetriesExhaustedError{Attempts: f.machine.Attempt(), Cause: failure}
	}
	wait, ok := f.Backoff.Wait(f.retries, now, f.request.Deadline)
	if !ok {
		return &RetriesExhaustedError{Attempts: f.machine.Attempt(), Cause: failure}
	}
	if clock.Sleep(f.ctx, f.Clock, wait) != nil {
		return f.contextError()
	}
	return nil
}

// apply applies an event to the state machine. A rejected event indicates a bug
// in the dispatcher; the state of the machine does not change.
func (f *inFlightRequest) apply(kind request.EventKind) error {
	next, err := f.machine.Apply(request.Event{Kind: kind, Attempt: f.machine.Attempt()})
	if err != nil {
		f.Count("RequestEventsRefused", 1)
		return err
	}
	f.machine = next
	return nil
}

// answeredResult returns the result after a complete response.
func (f *inFlightRequest) answeredResult() Result {
	return Result{Outcome: f.machine.Outcome(), Status: f.saved.Status, HeadWritten: f.headWritten, Backend: f.target.Name}
}

// giveUp ends the request with the problem.
func (f *inFlightRequest) giveUp(problem error) Result {
	_ = f.apply(request.GivenUp)
	status, retryable := statusOf(problem, f.machine.IsMaybeWritten())
	result := Result{
		Outcome: f.machine.Outcome(), Status: status, Problem: problem,
		HeadWritten: f.headWritten, Backend: f.target.Name,
	}
	if retryable {
		result.RetryAfter = retryAfterOf(problem, f.options.RetryAfter)
	}
	return result
}

// conclude publishes the outcome, reports it to the caller, and then releases the
// claim if possible.
func (f *inFlightRequest) conclude(result Result) {
	f.Count("RequestsEnded."+result.Outcome.String(), 1)
	f.recordEvent("RequestEnded", result.Backend, result.Outcome.String())
	f.publish(result)
	if finisher, ok := f.writer.(Finisher); ok {
		finisher.Finish(result)
	}
	f.release()
}
