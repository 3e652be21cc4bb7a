package dispatch

import (
	"context"
	"errors"
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// flight is one request on its way. Except for the fields under mu it is
// used by the goroutine of Do only.
type flight struct {
	*Dispatcher
	request     request.Request
	fingerprint uint64
	writer      Writer
	machine     request.Machine
	// caller ends when the caller has gone.
	caller context.Context
	// ctx ends with the deadline and, unless the answer is kept for another
	// sending of the key, with the caller.
	ctx      context.Context
	cancel   context.CancelCauseFunc
	deadline clockwork.Timer
	// verdict is set when the request needed a claim.
	verdict Verdict
	// slot announces the answer to other sendings of the key, or is nil.
	slot *answer.Slot
	// kept is the answer as it was passed on, if slot is not nil.
	kept answer.Answer
	// truncated is true when kept lacks the end of the body.
	truncated bool
	// excluded are the backend servers that failed.
	excluded []string
	// retries counts the attempts that were charged as retries.
	retries int
	// transcript is what the caller has of the stream.
	transcript *transcript
	// began is true when the Writer's Head has been called.
	began bool

	mu sync.Mutex
	// target is the backend server of the current attempt.
	target Target
	// stop ends the current attempt; it is nil between attempts.
	stop context.CancelCauseFunc
	// movable is true when the current attempt can be continued elsewhere.
	movable bool
	// next is the target that was chosen for a move.
	next *Target
	// crashedAt is the backend server whose crash the request met last.
	crashedAt Target
	// moving holds the backend servers that are being left.
	moving map[string]bool
}

func newFlight(d *Dispatcher, r request.Request, w Writer) *flight {
	return &flight{
		Dispatcher:  d,
		request:     r,
		fingerprint: r.Fingerprint(),
		writer:      w,
		machine:     request.NewMachine(r),
		transcript:  newTranscript(r, d.options.MaxTextBytes),
		moving:      make(map[string]bool),
	}
}

// bound sets when the request is given up.
func (f *flight) bound(caller context.Context) {
	f.caller = caller
	parent := caller
	if f.request.NeedsClaim() {
		parent = context.WithoutCancel(caller)
	}
	f.ctx, f.cancel = context.WithCancelCause(parent)
	if f.request.Deadline.IsZero() {
		return
	}
	cancel := f.cancel
	f.deadline = f.Clock.AfterFunc(f.request.Deadline.Sub(f.Clock.Now()), func() { cancel(&DeadlineError{}) })
}

// close frees what the flight holds.
func (f *flight) close() {
	if f.deadline != nil {
		f.deadline.Stop()
	}
	f.cancel(nil)
	if next := f.takeNext(); next != nil {
		f.discard(*next)
	}
	f.leave(f)
}

// run drives the request to its outcome.
func (f *flight) run() Result {
	if err := f.enter(f); err != nil {
		return f.giveUp(err)
	}
	f.Budget.Deposit(f.Clock.Now())
	if f.request.NeedsClaim() {
		if result, ended := f.claim(); ended {
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
			return f.answered()
		}
		if err := f.prepareRetry(target, err); err != nil {
			return f.giveUp(err)
		}
	}
}

// choose returns the target of the next attempt.
func (f *flight) choose() (Target, error) {
	if err := f.over(); err != nil {
		return Target{}, err
	}
	now := f.Clock.Now()
	if f.Suspects.Refused(f.fingerprint, now) {
		f.Count("RequestsSuspected", 1)
		return Target{}, &SuspectError{Fingerprint: f.fingerprint}
	}
	if next := f.takeNext(); next != nil {
		return *next, nil
	}
	target, err := f.chooseApart(now)
	var none *NoBackendError
	if errors.As(err, &none) && len(f.excluded) > 0 {
		// A backend server that has failed may work on a fresh connection.
		return f.Chooser.Choose(f.request, f.left(), now)
	}
	return target, err
}

// over returns why the request must not be attempted any more, or nil.
func (f *flight) over() error {
	if f.ctx.Err() != nil {
		return f.ending()
	}
	if f.caller.Err() != nil {
		return &CallerError{Cause: context.Cause(f.caller)}
	}
	return nil
}

// ending returns why ctx has ended.
func (f *flight) ending() error {
	cause := context.Cause(f.ctx)
	var deadline *DeadlineError
	if errors.As(cause, &deadline) {
		return deadline
	}
	return &CallerError{Cause: cause}
}

// prepareRetry returns nil when the request may be attempted again, after
// the wait that is due.
func (f *flight) prepareRetry(target Target, failure error) error {
	if f.ctx.Err() != nil {
		return f.ending()
	}
	var collect *CollectError
	if errors.As(failure, &collect) {
		// This happens once for each request and is no fault of anybody.
		f.transcript.fallBack()
		return nil
	}
	if !f.machine.MayAttempt() || !f.transcript.resumable() {
		return &BrokenStreamError{Backend: target.Name, Cause: failure}
	}
	// A stream that has got tokens since its last attempt can't multiply the
	// load, and breaking it off would lose what its caller was promised. So a
	// zone that fails at once does not use up the budget.
	if !f.isMoving(target.Name) && !f.transcript.progressed() {
		if err := f.chargeRetry(failure); err != nil {
			return err
		}
	}
	f.excluded = append(f.excluded, target.Name)
	kind := "Retried"
	if f.transcript.tokens > 0 {
		kind = "Resumed"
	}
	f.record(kind, target.Name, failure.Error())
	f.Count("Requests"+kind, 1)
	return nil
}

// chargeRetry takes a retry from the budget and waits.
func (f *flight) chargeRetry(failure error) error {
	f.retries++
	now := f.Clock.Now()
	if f.retries >= f.options.MaxAttempts || !f.Budget.Withdraw(now) {
		return &BudgetError{Attempts: f.machine.Attempt(), Cause: failure}
	}
	wait, ok := f.Backoff.Wait(f.retries, now, f.request.Deadline)
	if !ok {
		return &BudgetError{Attempts: f.machine.Attempt(), Cause: failure}
	}
	if clock.Sleep(f.ctx, f.Clock, wait) != nil {
		return f.ending()
	}
	return nil
}

// apply moves the machine. A refused event is a fault of the dispatcher; the
// machine's view stands.
func (f *flight) apply(kind request.EventKind) error {
	next, err := f.machine.Apply(request.Event{Kind: kind, Attempt: f.machine.Attempt()})
	if err != nil {
		f.Count("RequestEventsRefused", 1)
		return err
	}
	f.machine = next
	return nil
}

// answered returns the result after a whole answer.
func (f *flight) answered() Result {
	return Result{Outcome: f.machine.Outcome(), Status: f.kept.Status, Began: f.began, Backend: f.target.Name}
}

// giveUp ends the request with a problem.
func (f *flight) giveUp(problem error) Result {
	_ = f.apply(request.GivenUp)
	status, helps := statusOf(problem)
	result := Result{
		Outcome: f.machine.Outcome(), Status: status, Problem: problem,
		Began: f.began, Backend: f.target.Name,
	}
	if helps {
		result.RetryAfter = retryAfterOf(problem, f.options.RetryAfter)
	}
	return result
}

// conclude makes the outcome known, and then settles the claim.
func (f *flight) conclude(result Result) {
	f.Count("RequestsEnded."+result.Outcome.String(), 1)
	f.record("RequestEnded", result.Backend, result.Outcome.String())
	f.publish(result)
	if finisher, ok := f.writer.(Finisher); ok {
		finisher.Finish(result)
	}
	f.release()
}
