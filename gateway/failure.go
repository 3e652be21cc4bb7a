package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

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
	x.endTicket(a, failure, result, now)
	if !isStale(failure) {
		x.excluded = append(x.excluded, a.choice.Runner.ID)
	}
	x.Meters.CountAttempt(a.choice.Runner.ID, result.String())
	x.ends, x.lastHead = x.ends.with(failure), a.head
	x.logFailure(a, failure, result)
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

func (x *exchange) logFailure(a *attempt, failure error, result balance.Result) {
	x.Log.Info("AttemptFailed", append(append([]any{
		"Request", x.call.ID, "Attempt", a.number, "Result", result.String(), "Reason", failure.Error(),
		"LastEvent", a.lastEvent, "HasBegun", x.lastEvent > a.lastEvent, "Segments", x.segments, "RunnersAgeMilliseconds", x.RunnersAge().Milliseconds(),
	}, a.head.logFields()...), choiceFields(a.choice)...)...)
}

// endTicket ends the ticket of a failed attempt. One that reached no runner, or another one than
// that of the ticket, does not count for the runner's limit.
func (x *exchange) endTicket(a *attempt, failure error, result balance.Result, now time.Time) {
	var unwritten *upstream.UnwrittenError
	if errors.As(failure, &unwritten) || result == balance.Replaced {
		a.endUnsent(result, now)
		return
	}
	a.end(result, now)
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
	var unrecorded *RecordTimeoutError
	var stopped *StoppedStreamError
	var barred *BarredVersionError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(failure, &timedOut), x.timedOutUnanswered(a):
		return balance.Silent
	case x.ctx.Err() != nil, errors.As(failure, &full), errors.As(failure, &unrecorded), errors.As(failure, &stopped), errors.As(failure, &barred), isCallerWriteFailure(failure), isStale(failure):
		return balance.Cancelled
	case errors.As(failure, &unwritten) && upstream.IsRefused(unwritten.Cause):
		return balance.Refused
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
	case x.isSuspected(x.Clock.Now()):
		return false, reasonCrashes
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
	now := x.Clock.Now()
	if !x.RetryBudgets.AllowRetry(x.service, x.Group.Size(), now) {
		return false, "RetryBudgetUsedUp"
	}
	x.retryGranted = now
	x.Count("Retries", 1)
	return true, ""
}
