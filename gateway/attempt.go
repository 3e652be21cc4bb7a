package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/metric"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// send makes an attempt at the chosen runner.
func (v *visit) send(ctx context.Context) (*upstream.Answer, error) {
	runner := v.choice.Runner
	service, _ := v.catalog.Service(v.service)
	most := 0
	if service.MaxConnections > 0 {
		share := v.options.ConnectionShare * float64(service.MaxConnections) / float64(v.Group.Known())
		most = max(int(share), 1)
	}
	v.apply(request.AttemptBegan)
	v.answered = false
	began := v.Clock.Now()
	if v.machine.Attempt() == 1 {
		v.Meters.Time(v.route.Kind.String(), metric.Queue, began.Sub(v.accepted))
	}
	defer func() { v.Meters.Time(v.route.Kind.String(), metric.Connect, v.Clock.Since(began)) }()
	return v.Upstream.Send(ctx, upstream.Request{
		Address: runner.Address, MostConnections: most,
		Method: v.call.Method, Target: v.call.Target, Host: v.call.Host, Body: v.call.Body,
		Header: v.Codec.RunnerHeader(v.call, v.attemptOf(runner.ID, v.Clock.Now())),
	})
}

// judge checks the head of an answer. It returns nil for an answer that the
// caller may get.
func (v *visit) judge(answer *upstream.Answer) error {
	v.answered = true
	head := v.Codec.DecodeAnswer(answer.Status, answer.Header)
	runner := v.choice.Runner.ID
	if head.NotRun {
		return &RejectedError{Runner: runner, Status: answer.Status, Replaced: head.OtherRunner}
	}
	if head.ID != "" && head.ID != v.call.ID {
		return &upstream.BrokenError{
			Address: v.choice.Runner.Address, Cause: &ForeignAnswerError{Want: v.call.ID, Got: head.ID},
		}
	}
	if !head.Signed || head.ID == "" {
		return &upstream.BrokenError{Address: v.choice.Runner.Address, Cause: &UnsignedError{Runner: runner}}
	}
	v.countBegan()
	return nil
}

// countBegan counts the request once for the customer's usage.
func (v *visit) countBegan() {
	if v.began {
		return
	}
	v.began = true
	if v.customer.Name != "" {
		v.Usage.Began(v.customer.Name, v.TrueTime.At(v.Clock.Now()))
	}
}

// settle records how an attempt failed, at the runner and for the outcome.
func (v *visit) settle(ticket *balance.Ticket, failure error) {
	now := v.Clock.Now()
	result := v.resultOf(failure)
	ticket.End(result, now)
	var unwritten *upstream.UnwrittenError
	var rejected *RejectedError
	switch {
	case errors.As(failure, &unwritten):
		v.unwritten++
		v.apply(request.AttemptUnwritten)
	case errors.As(failure, &rejected):
		v.countRejection(rejected)
		v.apply(request.AttemptUnwritten)
	default:
		v.sent++
		v.apply(request.AttemptFailed)
		v.noteCrash(failure, now)
	}
	v.excluded = append(v.excluded, v.choice.Runner.ID)
	v.Meters.Attempt(v.choice.Runner.ID, result.String())
	v.Log.Info("AttemptFailed", append([]any{
		"Request", v.call.ID, "Attempt", v.machine.Attempt(), "Result", result.String(), "Reason", failure.Error(),
		"LastEvent", v.lastEvent,
	}, v.choiceFields()...)...)
}

// countRejection counts an attempt that did not run. One that met another runner
// than was meant is no attempt at a runner of the service, and one that was to go
// on with a stopped run is part of the attempt before.
func (v *visit) countRejection(rejected *RejectedError) {
	if rejected.Replaced || v.continues != nil {
		v.unwritten++
		return
	}
	v.sent++
}

// resultOf tells what a failure says about the runner.
func (v *visit) resultOf(failure error) balance.Result {
	var unwritten *upstream.UnwrittenError
	var rejected *RejectedError
	var full *upstream.FullError
	var silent *SilentError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(failure, &silent), v.isOverdue():
		return balance.Silent
	case v.ctx.Err() != nil, errors.As(failure, &full):
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

// isOverdue reports whether the time for the request has passed without any
// answer of the runner.
func (v *visit) isOverdue() bool {
	var overdue *DeadlineError
	return !v.answered && errors.As(context.Cause(v.ctx), &overdue)
}

// noteCrash suspects the content of a request whose runner broke off.
func (v *visit) noteCrash(failure error, now time.Time) {
	var broken *upstream.BrokenError
	var silent *SilentError
	if v.ctx.Err() != nil || !errors.As(failure, &broken) || errors.As(failure, &silent) {
		return
	}
	identity := suspect.Identity(v.call.ID, v.choice.Runner.ID, v.machine.Attempt())
	entry := v.Suspects.Add(v.fingerprint, identity, now)
	if v.Suspects.Refused(v.fingerprint, now) {
		v.Log.Info("RequestSuspected", "Request", v.call.ID, "Runner", v.choice.Runner.ID, "Crashes", len(entry.Crashes))
	}
}

// mayRetry decides after a failed attempt whether another one is made. It
// returns why not.
func (v *visit) mayRetry(failure error) (bool, string) {
	switch {
	case v.ctx.Err() != nil:
		return false, "TimeIsOver"
	case !v.machine.MayAttempt():
		return false, "MayHaveRun"
	case v.Suspects.Refused(v.fingerprint, v.Clock.Now()):
		return false, "CrashesRunners"
	}
	var unwritten *upstream.UnwrittenError
	if errors.As(failure, &unwritten) {
		return v.unwritten < v.options.MostUnwritten, "Unreachable"
	}
	if v.sent >= v.route.MaxAttempts || v.unwritten >= v.options.MostUnwritten {
		return false, "AttemptsUsedUp"
	}
	if !v.Retries.Take(v.service, v.Group.Known(), v.Clock.Now()) {
		return false, "RetryBudgetUsedUp"
	}
	v.Count("Retries", 1)
	return true, ""
}

// succeed ends an attempt whose answer the caller got.
func (v *visit) succeed(ticket *balance.Ticket, status int) {
	now := v.Clock.Now()
	result := balance.Succeeded
	if status >= http.StatusInternalServerError {
		result = balance.Failed
	}
	ticket.End(result, now)
	v.Meters.Attempt(v.choice.Runner.ID, result.String())
	v.apply(request.AnswerWhole)
	v.Suspects.Answered(v.fingerprint, now)
	v.ended(status, "Answered", nil)
}
