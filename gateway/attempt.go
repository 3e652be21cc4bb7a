package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/metric"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// send sends the request to the chosen runner and returns its response.
func (x *exchange) send(ctx context.Context) (*upstream.Answer, error) {
	runner := x.choice.Runner
	service, _ := x.catalog.Service(x.service)
	maxConnections := 0
	if service.MaxConnections > 0 {
		share := x.options.ConnectionShare * float64(service.MaxConnections) / float64(x.Group.Size())
		maxConnections = max(int(share), 1)
	}
	x.apply(request.AttemptBegan)
	x.headReceived = false
	started := x.Clock.Now()
	if x.machine.Attempt() == 1 {
		x.Meters.ObservePhase(x.route.Kind.String(), metric.Queue, started.Sub(x.accepted))
	}
	defer func() { x.Meters.ObservePhase(x.route.Kind.String(), metric.Connect, x.Clock.Since(started)) }()
	return x.Upstream.Send(ctx, upstream.Request{
		Address: runner.Address, MaxConnections: maxConnections,
		Method: x.call.Method, Target: x.call.Target, Host: x.call.Host, Body: x.call.Body,
		Header: x.Codec.RunnerHeader(x.call, x.attemptOf(runner.ID, x.Clock.Now())),
	})
}

// checkAnswerHead checks the status and the header of a response. It returns nil
// if the response may be forwarded to the caller.
func (x *exchange) checkAnswerHead(answer *upstream.Answer) error {
	x.headReceived = true
	head := x.Codec.DecodeAnswer(answer.Status, answer.Header)
	x.applySignals(head)
	runner := x.choice.Runner.ID
	if head.NotRun {
		return &RejectedError{Runner: runner, Status: answer.Status, Replaced: head.Misdirected}
	}
	if head.ID != "" && head.ID != x.call.ID {
		return &upstream.InvalidAnswerError{
			Address: x.choice.Runner.Address, Cause: &MismatchedAnswerError{Want: x.call.ID, Got: head.ID},
		}
	}
	if !head.Signed || head.ID == "" {
		return &upstream.InvalidAnswerError{Address: x.choice.Runner.Address, Cause: &UnsignedError{Runner: runner}}
	}
	x.countUsage()
	return nil
}

// applySignals applies what the head of a response says of its runner.
func (x *exchange) applySignals(head call.AnswerMetadata) {
	if head.RetryAfter > 0 {
		x.Balancer.Pause(x.choice.Runner, head.RetryAfter, x.Clock.Now())
	}
	if head.Leaving && x.Balancer.MarkLeaving(x.choice.Runner) {
		x.MoveStreams(x.choice.Runner.ID)
	}
}

// countUsage counts the request once for the customer's usage.
func (x *exchange) countUsage() {
	if x.runStarted {
		return
	}
	x.runStarted = true
	if x.customer.Name != "" {
		x.Usage.RecordRequest(x.customer.Name, x.SyncedClock.At(x.Clock.Now()))
	}
}

// recordFailure records a failed attempt in the balancer, in the state machine of
// the request and in the logs and metrics.
func (x *exchange) recordFailure(ticket *balance.Ticket, failure error) {
	now := x.Clock.Now()
	result := x.resultOf(failure)
	ticket.End(result, now)
	var unwritten *upstream.UnwrittenError
	var rejected *RejectedError
	switch {
	case errors.As(failure, &unwritten):
		x.unwrittenAttempts++
		x.apply(request.AttemptUnwritten)
	case errors.As(failure, &rejected):
		x.countRejection(rejected)
		x.apply(request.AttemptUnwritten)
	default:
		x.writtenAttempts++
		x.apply(request.AttemptFailed)
		x.recordCrash(failure, now)
	}
	x.excluded = append(x.excluded, x.choice.Runner.ID)
	x.Meters.CountAttempt(x.choice.Runner.ID, result.String())
	x.Log.Info("AttemptFailed", append([]any{
		"Request", x.call.ID, "Attempt", x.machine.Attempt(), "Result", result.String(), "Reason", failure.Error(),
		"LastEvent", x.lastEvent,
	}, x.choiceFields()...)...)
}

// countRejection counts a rejected attempt. The attempt counts as unwritten in two
// cases: another runner now has the address, so that no runner of the service was
// reached; or the attempt was to continue a stopped run and thus belongs to the
// previous attempt.
func (x *exchange) countRejection(rejected *RejectedError) {
	if rejected.Replaced || x.continuedRun != nil {
		x.unwrittenAttempts++
		return
	}
	x.writtenAttempts++
}

// resultOf classifies a failure for the balancer.
func (x *exchange) resultOf(failure error) balance.Result {
	var unwritten *upstream.UnwrittenError
	var rejected *RejectedError
	var full *upstream.ConnectionLimitError
	var timedOut *AttemptTimeoutError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(failure, &timedOut), x.timedOutUnanswered():
		return balance.Silent
	case x.ctx.Err() != nil, errors.As(failure, &full), isCallerWriteFailure(failure):
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
func (x *exchange) timedOutUnanswered() bool {
	var deadline *DeadlineError
	return !x.headReceived && errors.As(context.Cause(x.ctx), &deadline)
}

// recordCrash records a suspected crash for the content of a request whose runner
// broke off the response.
func (x *exchange) recordCrash(failure error, now time.Time) {
	if x.ctx.Err() != nil || !isBrokenOff(failure) {
		return
	}
	crashID := suspect.CrashID(x.call.ID, x.choice.Runner.ID, x.machine.Attempt())
	entry := x.Suspects.RecordCrash(x.fingerprint, crashID, now)
	if x.Suspects.Refused(x.fingerprint, now) {
		x.Log.Info("RequestSuspected", "Request", x.call.ID, "Runner", x.choice.Runner.ID, "Crashes", len(entry.Crashes))
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
	}
	var unwritten *upstream.UnwrittenError
	if errors.As(failure, &unwritten) {
		return x.unwrittenAttempts < x.options.MaxUnwrittenAttempts, "Unreachable"
	}
	if x.writtenAttempts >= x.route.MaxAttempts && !x.mayReturn(failure) || x.unwrittenAttempts >= x.options.MaxUnwrittenAttempts {
		return false, "AttemptsUsedUp"
	}
	if !x.isNextSecured() && !x.RetryBudgets.AllowRetry(x.service, x.Group.Size(), x.Clock.Now()) {
		return false, "RetryBudgetUsedUp"
	}
	x.Count("Retries", 1)
	return true, ""
}

// succeed records an attempt whose response was delivered to the caller.
func (x *exchange) succeed(ticket *balance.Ticket, status int) {
	now := x.Clock.Now()
	result := balance.Succeeded
	if status >= http.StatusInternalServerError {
		result = balance.Failed
	}
	ticket.End(result, now)
	x.Meters.CountAttempt(x.choice.Runner.ID, result.String())
	x.apply(request.AnswerWhole)
	x.Suspects.RecordAnswer(x.fingerprint, now)
	x.recordEnd(status, "Answered", nil)
}
