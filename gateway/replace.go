package gateway

import (
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/catalog"
)

// acceptanceTimeout is how long a runner may take to reject a stream that was written to it.
// One that has not done so by then has begun the request or has put it into its queue. The
// time bounds how long two runners may work on one stream.
const acceptanceTimeout = 250 * time.Millisecond

// replace begins an attempt that replaces the current one if it is accepted. It returns
// false if none can be made now. The mutex must be held.
func (x *exchange) replace(silence time.Duration, now time.Time) bool {
	if !x.mayReplace(now) {
		return false
	}
	if x.mayAskAnotherRunner() && x.replaceAt(x.chooseReplacement, now) {
		return true
	}
	return x.mayReturn(silence) && x.replaceAt(func(now time.Time) (*attempt, error) {
		return x.chooseSilentRunner(x.choice.Runner.ID, now)
	}, now)
}

// mayReplace reports whether the current attempt may be replaced. With less than the
// target latency left, the current runner is as likely to answer in time as another one.
// The mutex must be held.
func (x *exchange) mayReplace(now time.Time) bool {
	switch {
	case x.ctx.Err() != nil, x.isMoving(), x.replacements.accepted != nil:
		return false
	case x.timeLeft(now) < x.route.TargetLatency:
		return false
	case x.unwrittenAttempts+1 >= x.options.MaxUnwrittenAttempts:
		return false
	default:
		return !x.isSuspected(now)
	}
}

// mayAskAnotherRunner reports whether the request may be sent to a further runner. The
// mutex must be held.
func (x *exchange) mayAskAnotherRunner() bool {
	return x.writtenAttempts+len(x.replacements.pending)+1 < x.route.MaxAttempts
}

// returnSilenceFactor is how many idle timeouts a runner is silent before the request is
// sent to it again.
const returnSilenceFactor = 2

// mayReturn reports whether the request may be sent once more to the silent runner, over
// another connection: the runner may be well and only the connection lost. It is one of
// the runners that MaxAttempts bounds. The mutex must be held.
func (x *exchange) mayReturn(silence time.Duration) bool {
	r := &x.replacements
	return r.hasFailed && !r.hasReturned && !r.exist() && silence >= returnSilenceFactor*x.watchdog.timeout
}

// replaceAt begins an attempt at the runner that choose returns, if the retry budget
// allows it. The mutex must be held.
func (x *exchange) replaceAt(choose func(now time.Time) (*attempt, error), now time.Time) bool {
	if !x.RetryBudgets.AllowRetry(x.service, x.Group.Size(), now) {
		return false
	}
	if x.watchdog.attempt.silentSince.IsZero() {
		x.watchdog.attempt.silentSince = now
	}
	a, err := choose(now)
	if err != nil {
		x.RetryBudgets.ReturnRetry(x.service, now)
		return false
	}
	x.prepareReplacement(a)
	x.replacements.pending = append(x.replacements.pending, a)
	x.Count("Retries", 1)
	x.Count("Replacements.Begun", 1)
	x.Log.Info("ReplacementBegan", append([]any{
		"Request", x.call.ID, "Attempt", a.number, "SilentRunner", x.choice.Runner.ID, "LastEvent", x.lastEvent,
	}, choiceFields(a.choice)...)...)
	if x.isAcceptedBySilence(a) {
		a.onWritten = func() { x.startAcceptance(a) }
	}
	go x.runReplacement(a)
	return true
}

// isAcceptedBySilence reports whether the attempt counts as accepted when its runner has
// not rejected it within acceptanceTimeout. Idempotent requests may run at two runners
// until one of them has answered. The mutex must be held.
func (x *exchange) isAcceptedBySilence(a *attempt) bool {
	return x.route.Kind == catalog.Stream && a.choice.Runner.ID != x.choice.Runner.ID
}

// chooseReplacement chooses another runner than the current one. A stopped run returns to
// the runner where it was stopped, unless that left too long ago. The mutex must be held.
func (x *exchange) chooseReplacement(now time.Time) (*attempt, error) {
	if source := x.stoppedAt; source != nil {
		ticket, err := x.acquireSource(*source, now)
		var left *LeftError
		switch {
		case err == nil:
			x.stoppedAt = nil
			return x.newAttempt(source.choice, ticket, x.continuedRun), nil
		case !errors.As(err, &left):
			return nil, err
		}
	}
	r := x.balanceRequest()
	r.Excluded = append(r.Excluded, x.choice.Runner.ID)
	for _, a := range x.replacements.pending {
		r.Excluded = append(r.Excluded, a.choice.Runner.ID)
	}
	r.AvailableOnly = true
	choice, ticket, err := x.chooseRunner(r, now)
	if err != nil {
		return nil, err
	}
	return x.newAttempt(choice, ticket, nil), nil
}

// chooseSilentRunner chooses a silent runner once more. The mutex must be held.
func (x *exchange) chooseSilentRunner(runner string, now time.Time) (*attempt, error) {
	r := x.balanceRequest()
	r.Excluded, r.Only = nil, runner
	// The attempt goes on at the version of that runner, whatever a roll-out assigns to others.
	choice, ticket, err := x.Balancer.Choose(x.bound(r, x.version, now), now)
	if err != nil {
		return nil, err
	}
	x.replacements.hasReturned = true
	a := x.newAttempt(choice, ticket, nil)
	a.newConnection = true
	return a, nil
}
