package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/metric"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// attempt is one attempt of a request at a runner.
type attempt struct {
	// number counts the attempts of the request from 1.
	number int
	choice balance.Choice
	ticket *balance.Ticket
	// resumed is the stopped run that the attempt continues, or nil.
	resumed *call.StoppedRun
	// newConnection is true if the attempt must not use a pooled connection.
	newConnection bool
	// lastEvent is the ID of the event after which a stream begins.
	lastEvent int
	// ctx ends when cancel is called, and with the context of the request.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// headReceived is true when the runner has sent the head of a response.
	headReceived bool

	// onWritten is called when the request was written. It may be nil.
	onWritten func()

	// opened is closed when opening and failure are set by another goroutine than that
	// of the request. It is nil for an attempt that replaces none.
	opened  chan struct{}
	opening opening
	failure error

	// The fields below are guarded by the mutex of the exchange.

	// lastData is when the attempt began or last received data.
	lastData time.Time
	// isOpened is true when opening and failure are set.
	isOpened bool
	// isTaken is true when the attempt has become the current one, and isReleased when it
	// is not needed. At most one of them is true.
	isTaken, isReleased bool
	// acceptance accepts the attempt after a time. It is nil if only an answer does.
	acceptance clockwork.Timer
}

// newAttempt returns an attempt that has not begun. The mutex must be held.
func (x *exchange) newAttempt(choice balance.Choice, ticket *balance.Ticket, resumed *call.StoppedRun) *attempt {
	x.attempts++
	a := &attempt{number: x.attempts, choice: choice, ticket: ticket, resumed: resumed, lastEvent: x.lastEvent}
	a.ctx, a.cancel = context.WithCancelCause(x.ctx)
	return a
}

// stopAcceptance stops the timer that accepts the attempt.
func (a *attempt) stopAcceptance() {
	if a.acceptance != nil {
		a.acceptance.Stop()
	}
}

// begin makes an attempt the current one.
func (x *exchange) begin(a *attempt) {
	x.mutex.Lock()
	x.choice = a.choice
	a.lastData = x.Clock.Now()
	x.mutex.Unlock()
	x.apply(request.AttemptBegan)
	x.Log.V(1).Info("RunnerChosen", append([]any{
		"Request", x.call.ID, "Attempt", a.number, "RunnersAgeMilliseconds", x.RunnersAge().Milliseconds(),
	}, choiceFields(a.choice)...)...)
}

// send sends the request to the runner of an attempt and returns its response.
func (x *exchange) send(a *attempt) (*upstream.Answer, error) {
	runner := a.choice.Runner
	service, _ := x.catalog.Service(x.service)
	maxConnections := 0
	if service.MaxConnections > 0 {
		share := x.options.ConnectionShare * float64(service.MaxConnections) / float64(x.Group.Size())
		maxConnections = max(int(share), 1)
	}
	started := x.Clock.Now()
	if a.number == 1 {
		x.Meters.ObservePhase(x.route.Kind.String(), metric.Queue, started.Sub(x.accepted))
	}
	defer func() { x.Meters.ObservePhase(x.route.Kind.String(), metric.Connect, x.Clock.Since(started)) }()
	return x.Upstream.Send(a.ctx, upstream.Request{
		Address: runner.Address, MaxConnections: maxConnections,
		NewConnection: a.newConnection, ToleratesReset: x.toleratesReset(a), OnWritten: a.onWritten,
		Method: x.call.Method, Target: x.call.Target, Host: x.call.Host, Body: x.call.Body,
		Header: x.Codec.RunnerHeader(x.call, x.attemptOf(a, x.Clock.Now())),
	})
}

// checkAnswerHead checks the status and the header of a response. It returns nil
// if the response may be forwarded to the caller.
func (x *exchange) checkAnswerHead(a *attempt, answer *upstream.Answer) error {
	a.headReceived = true
	head := x.Codec.DecodeAnswer(answer.Status, answer.Header)
	x.applySignals(a.choice.Runner, head)
	runner := a.choice.Runner.ID
	if head.NotRun {
		return &RejectedError{Runner: runner, Status: answer.Status, Replaced: head.Misdirected}
	}
	if head.ID != "" && head.ID != x.call.ID {
		return &upstream.InvalidAnswerError{
			Address: a.choice.Runner.Address, Cause: &MismatchedAnswerError{Want: x.call.ID, Got: head.ID},
		}
	}
	if !head.Signed || head.ID == "" {
		return &upstream.InvalidAnswerError{Address: a.choice.Runner.Address, Cause: &UnsignedError{Runner: runner}}
	}
	x.countUsage()
	return nil
}

// applySignals applies what the head of a response says of its runner.
func (x *exchange) applySignals(runner inventory.Runner, head call.AnswerMetadata) {
	if head.RetryAfter > 0 {
		x.Balancer.Pause(runner, head.RetryAfter, x.Clock.Now())
	}
	if head.Leaving && x.Balancer.MarkLeaving(runner) {
		x.MoveStreams(runner.ID)
	}
}

// countUsage counts the request once for the customer's usage.
func (x *exchange) countUsage() {
	if x.runStarted.Swap(true) {
		return
	}
	if x.customer.Name != "" {
		x.Usage.RecordRequest(x.customer.Name, x.SyncedClock.At(x.Clock.Now()))
	}
}

// recordFailure records the failure of the current attempt, and those of the attempts
// that were to replace it.
func (x *exchange) recordFailure(a *attempt, failure error) {
	x.mutex.Lock()
	ending := x.countFailure(a, failure)
	x.mutex.Unlock()
	x.apply(ending)
	x.applyEndings()
}

// countFailure records a failed attempt in the balancer and in the logs and metrics. It
// returns the event for the state machine of the request. The mutex must be held.
func (x *exchange) countFailure(a *attempt, failure error) request.EventKind {
	now := x.Clock.Now()
	result := x.resultOf(a, failure)
	a.ticket.End(result, now)
	if !isStale(failure) {
		x.excluded = append(x.excluded, a.choice.Runner.ID)
	}
	x.Meters.CountAttempt(a.choice.Runner.ID, result.String())
	x.Log.Info("AttemptFailed", append([]any{
		"Request", x.call.ID, "Attempt", a.number, "Result", result.String(), "Reason", failure.Error(),
		"LastEvent", a.lastEvent, "RunnersAgeMilliseconds", x.RunnersAge().Milliseconds(),
	}, choiceFields(a.choice)...)...)
	var unwritten *upstream.UnwrittenError
	var rejected *RejectedError
	switch {
	case errors.As(failure, &unwritten):
		x.unwrittenAttempts++
		return request.AttemptUnwritten
	case errors.As(failure, &rejected):
		x.countRejection(a, rejected)
		return request.AttemptUnwritten
	default:
		x.writtenAttempts++
		x.recordCrash(a, failure, now)
		return request.AttemptFailed
	}
}

// countRejection counts a rejected attempt. The attempt counts as unwritten in two
// cases: another runner now has the address, so that no runner of the service was
// reached; or the attempt was to continue a stopped run and thus belongs to the
// previous attempt.
func (x *exchange) countRejection(a *attempt, rejected *RejectedError) {
	if rejected.Replaced || a.resumed != nil {
		x.unwrittenAttempts++
		return
	}
	x.writtenAttempts++
}

// resultOf classifies a failure for the balancer.
func (x *exchange) resultOf(a *attempt, failure error) balance.Result {
	var unwritten *upstream.UnwrittenError
	var rejected *RejectedError
	var full *upstream.ConnectionLimitError
	var timedOut *AttemptTimeoutError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(failure, &timedOut), x.timedOutUnanswered(a):
		return balance.Silent
	case x.ctx.Err() != nil, errors.As(failure, &full), isCallerWriteFailure(failure), isStale(failure):
		return balance.Cancelled
	case errors.As(failure, &unwritten):
		return balance.Unreachable
	case errors.As(failure, &timeout) && timeout.Timeout():
		return balance.Silent
	case errors.As(failure, &rejected) && rejected.Replaced:
		return balance.Replaced
	case errors.As(failure, &rejected):
		return balance.Rejected
	default:
		return balance.Failed
	}
}

// timedOutUnanswered reports whether the deadline of the request passed before the
// runner sent the head of a response.
func (x *exchange) timedOutUnanswered(a *attempt) bool {
	var deadline *DeadlineError
	return !a.headReceived && errors.As(context.Cause(x.ctx), &deadline)
}

// recordCrash records a suspected crash for the content of a request whose runner
// broke off the response.
func (x *exchange) recordCrash(a *attempt, failure error, now time.Time) {
	if x.ctx.Err() != nil || !isBrokenOff(failure) {
		return
	}
	crashID := suspect.CrashID(x.call.ID, a.choice.Runner.ID, a.number)
	entry := x.Suspects.RecordCrash(x.fingerprint, crashID, now)
	if x.Suspects.Refused(x.fingerprint, now) {
		x.Log.Info("RequestSuspected", "Request", x.call.ID, "Runner", a.choice.Runner.ID, "Crashes", len(entry.Crashes))
	}
}

// isBrokenOff reports whether a runner broke off its response. It did not if the daemon
// ended the attempt.
func isBrokenOff(failure error) bool {
	var invalid *upstream.InvalidAnswerError
	var timedOut *AttemptTimeoutError
	var exhausted *buffer.ExhaustedError
	return errors.As(failure, &invalid) && !errors.As(failure, &timedOut) && !errors.As(failure, &exhausted)
}

// mayRetry decides after a failed attempt whether another one is made, and returns
// the reason if not.
func (x *exchange) mayRetry(failure error) (bool, string) {
	switch {
	case callerserver.IsStopped(x.ctx):
		return false, "Stopping"
	case x.ctx.Err() != nil:
		return false, "TimeIsOver"
	case isCallerWriteFailure(failure):
		return false, "CallerNotWritable"
	case !x.machine.MayAttempt():
		return false, "MayHaveRun"
	case x.Suspects.Refused(x.fingerprint, x.Clock.Now()):
		return false, "CrashesRunners"
	case x.hasReplacement():
		return true, ""
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var unwritten *upstream.UnwrittenError
	var rejected *RejectedError
	if errors.As(failure, &unwritten) {
		return x.unwrittenAttempts < x.options.MaxUnwrittenAttempts, "Unreachable"
	}
	mayReturn := errors.As(failure, &rejected) && x.replacements.mayReturnAfterward()
	if x.writtenAttempts >= x.route.MaxAttempts && !mayReturn || x.unwrittenAttempts >= x.options.MaxUnwrittenAttempts {
		return false, "AttemptsUsedUp"
	}
	if !x.RetryBudgets.AllowRetry(x.service, x.Group.Size(), x.Clock.Now()) {
		return false, "RetryBudgetUsedUp"
	}
	x.Count("Retries", 1)
	return true, ""
}

// succeed records an attempt whose response was delivered to the caller.
func (x *exchange) succeed(a *attempt, status int) {
	now := x.Clock.Now()
	result := balance.Succeeded
	if status >= http.StatusInternalServerError {
		result = balance.Failed
	}
	a.ticket.End(result, now)
	x.Meters.CountAttempt(a.choice.Runner.ID, result.String())
	x.apply(request.AnswerWhole)
	x.Suspects.RecordAnswer(x.fingerprint, now)
	x.recordEnd(status, "Answered", nil)
}
