package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/metric"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/rollout"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// attempt is one attempt of a request at a runner.
type attempt struct {
	// number counts the attempts of the request from 1.
	number int
	choice balance.Choice
	ticket *balance.Ticket
	// rollout counts the attempt for a roll-out of the service. It may be nil.
	rollout *rollout.Attempt
	// incarnation identifies that of the runner.
	incarnation uint64
	// sentAt is when the attempt was made.
	sentAt time.Time
	// resumed is the stopped run that the attempt continues, or nil.
	resumed *call.StoppedRun
	// newConnection is true if the attempt must not use a pooled connection: an earlier attempt of
	// the request may have used it, whose response names the request as well.
	newConnection bool
	// lastEvent is the ID of the event after which a stream begins.
	lastEvent int
	// continuesTyped is true if the response that the attempt continues named its media type.
	continuesTyped bool
	// ctx ends when cancel is called, and with the context of the request until detach is called.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// headReceived is true when the runner has sent the head of a response, and head is what
	// the logs say of it.
	headReceived bool
	head         receivedHead
	// isTyped is true if the response is a stream that names its media type.
	isTyped bool

	// onWritten is called when the request was written. It may be nil.
	onWritten func()
	// mayWrite reports whether the request may be written. It is nil for an attempt that replaces
	// none, as is detach, which separates the attempt's context from that of the request.
	mayWrite, detach func() bool

	// opened is closed when opening and failure are set by another goroutine than that
	// of the request. It is nil for an attempt that replaces none.
	opened  chan struct{}
	opening opening
	failure error

	// The fields below are guarded by the mutex of the exchange.

	// lastData is when the attempt began or last received data.
	lastData time.Time
	// answeredAt is when the answer began: the first event of a stream, or the head of another
	// answer. It is zero before.
	answeredAt time.Time
	// silentSince is when the attempt was first replaced after its last data, or zero.
	silentSince time.Time
	// isProven is true once the runner is known not to crash at the begin of the answer.
	isProven bool
	// isOpened is true when opening and failure are set.
	isOpened bool
	// isTaken is true when the attempt has become the current one, and isReleased when it
	// is not needed. At most one of them is true.
	isTaken, isReleased bool
	// acceptance accepts the attempt after a time. It is nil if only an answer does.
	acceptance clockwork.Timer
	// writtenAt is when an attempt that replaces another one began to be written, and awaitsHead is
	// true from then on until the head of a response was applied.
	writtenAt  time.Time
	awaitsHead bool
	// rejection ends the attempt after a time, if it was released while its runner could still
	// reject it. It is nil otherwise.
	rejection clockwork.Timer
}

// newAttempt returns an attempt that has not begun. The mutex must be held.
func (x *exchange) newAttempt(choice balance.Choice, ticket *balance.Ticket, resumed *call.StoppedRun) *attempt {
	x.attempts++
	now := x.Clock.Now()
	a := &attempt{
		number: x.attempts, choice: choice, ticket: ticket, resumed: resumed, lastEvent: x.lastEvent, continuesTyped: x.isTyped,
		incarnation: choice.Runner.Incarnation().Hash(), sentAt: now,
		rollout: x.startCounting(choice, now),
	}
	a.newConnection = slices.Contains(x.addresses, choice.Runner.Address)
	x.addresses = append(x.addresses, choice.Runner.Address)
	a.ctx, a.cancel = context.WithCancelCause(x.ctx)
	return a
}

// isReplacement reports whether the attempt was made beside a silent one.
func (a *attempt) isReplacement() bool { return a.opened != nil }

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
	x.retryGranted = time.Time{}
	a.lastData = x.Clock.Now()
	x.mutex.Unlock()
	x.apply(request.AttemptBegan)
	x.recordEarly(a)
	x.Log.V(1).Info("RunnerChosen", append([]any{
		"Request", x.call.ID, "Attempt", a.number, "RunnersAgeMilliseconds", x.RunnersAge().Milliseconds(),
	}, choiceFields(a.choice)...)...)
}

// send sends the request to the runner of an attempt and returns its response.
func (x *exchange) send(a *attempt) (*upstream.Answer, error) {
	runner := a.choice.Runner
	started := x.Clock.Now()
	x.recordLeaving(a, started)
	if a.number == 1 {
		x.Meters.ObservePhase(x.route.Kind.String(), metric.Queue, started.Sub(x.accepted))
	}
	defer func() { x.Meters.ObservePhase(x.route.Kind.String(), metric.Connect, x.Clock.Since(started)) }()
	isBarred := false
	mayWrite := func() bool {
		isBarred = !a.rollout.MayWrite(x.Clock.Now())
		return !isBarred && (a.mayWrite == nil || a.mayWrite())
	}
	answer, err := x.Upstream.Send(a.ctx, upstream.Request{
		Address: runner.Address, MaxConnections: x.maxConnections(),
		NewConnection: a.newConnection, ToleratesReset: x.toleratesReset(a), MayWrite: mayWrite, OnWritten: a.onWritten,
		Method: x.call.Method, Target: x.call.Target, Host: x.call.Host, Body: x.call.Body,
		Header: x.Codec.RunnerHeader(x.call, x.attemptOf(a, x.Clock.Now())),
	})
	if isBarred {
		return nil, x.barredAttempt(a)
	}
	return answer, err
}

// maxConnections returns how many connections this daemon may have to a runner; zero if they are not limited.
func (x *exchange) maxConnections() int {
	service, _ := x.catalog.Service(x.service)
	if service.MaxConnections <= 0 {
		return 0
	}
	share := x.options.ConnectionShare * float64(service.MaxConnections) / float64(x.Group.Size())
	return max(int(share), 1)
}

// recordLeaving counts and logs an attempt at a runner that is known to leave.
func (x *exchange) recordLeaving(a *attempt, now time.Time) {
	runner := a.choice.Runner
	if !x.Balancer.IsLeaving(runner) {
		return
	}
	x.Count("Attempts.AtLeavingRunners", 1)
	x.Log.Info("SentToLeavingRunner", "Request", x.call.ID, "Attempt", a.number, "Runner", runner.ID, "Resumes", a.resumed != nil,
		"Milliseconds", now.Sub(x.accepted).Milliseconds(), "ChosenMilliseconds", now.Sub(a.sentAt).Milliseconds())
}

// applySignals applies what the head of a response says of its runner, unless that is another
// one than the intended.
func (x *exchange) applySignals(a *attempt, head call.AnswerMetadata) {
	if head.Misdirected {
		return
	}
	runner := a.choice.Runner
	x.observeLimit(a, head)
	a.ticket.ObserveLoad(head.Load, x.Clock.Now())
	if head.RetryAfter > 0 {
		x.Balancer.Pause(runner, head.RetryAfter, x.Clock.Now())
	}
	if head.Leaving && x.Balancer.MarkLeaving(runner) {
		x.MoveStreams(runner.ID)
	}
}

// observeLimit records what a response says of its runner's limit.
func (x *exchange) observeLimit(a *attempt, head call.AnswerMetadata) {
	if head.Limit.IsInvalid {
		x.Count("Limits.Invalid", 1)
	}
	a.ticket.ObserveLimit(head.Limit, x.Clock.Now())
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

// succeed records an attempt whose response was delivered to the caller.
func (x *exchange) succeed(a *attempt, status int) {
	now := x.Clock.Now()
	result := balance.Succeeded
	if status >= http.StatusInternalServerError {
		result = balance.Failed
	}
	a.end(result, now)
	x.lastMove = nil
	x.Meters.CountAttempt(a.choice.Runner.ID, result.String())
	x.apply(request.AnswerWhole)
	if status < http.StatusMultipleChoices {
		x.recordProof(a, now)
		x.recordWork(a, now)
	}
	x.recordEnd(status, "Answered", nil)
}
