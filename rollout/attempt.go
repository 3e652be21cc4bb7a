package rollout

import "time"

// Attempt is one attempt that has been sent to a runner. It is safe for concurrent use. The
// methods of a nil Attempt do nothing.
type Attempt struct {
	service   *service
	route     string
	version   string
	startedAt time.Time
	// tally counts the response, and target is whether that is one of the target. The tally is
	// nil if no order was known when the attempt was sent.
	tally  *Tally
	target bool
	// turn is that of the target when the attempt was sent.
	turn Turn

	// The fields below are guarded by the mutex of the service.

	// previous and next are the neighbours in the list of attempts in flight.
	previous, next *Attempt
	hasEnded       bool
	// responded is the counted outcome, if hasResponded.
	responded    Outcome
	hasResponded bool
	// isAbandoned is true if the caller stopped waiting before that.
	isAbandoned bool
}

// Respond counts the response: when a plain response is complete, or when the first event of a
// stream has come or has failed to come. A second call counts only if it is a failure after a
// success, such as a stream that breaks off. In a trial, responses of the old versions count only at the
// turns of the target, since there are none to compare them with at other times.
func (a *Attempt) Respond(outcome Outcome, now time.Time) {
	if !a.isCounted() {
		return
	}
	if outcome.Latency == 0 {
		outcome.Latency = now.Sub(a.startedAt)
	}
	a.service.mutex.Lock()
	defer a.service.mutex.Unlock()
	outcome.Loaded = a.level(outcome.Loaded)
	switch {
	case a.isAbandoned:
	case !a.hasResponded:
		a.tally.add(a.route, a.target, outcome)
		a.responded, a.hasResponded = outcome, true
	case outcome.Failed && !a.responded.Failed:
		a.tally.fail(a.route, a.target, a.responded)
		a.responded.Failed = true
	}
}

// isCounted reports whether the response is counted.
func (a *Attempt) isCounted() bool {
	return a != nil && a.tally != nil && (a.target || a.turn.IsNow())
}

// level returns the load level under which the response is counted. The mutex must be held.
func (a *Attempt) level(isLoaded bool) bool {
	if a.target {
		return a.turn.level(isLoaded, a.service.isOldLoaded)
	}
	a.service.isOldLoaded = isLoaded
	return isLoaded
}

// Abandon counts that the caller stopped waiting for the response, or that it is no longer needed: its time
// would have been longer. It does nothing after Respond or End.
func (a *Attempt) Abandon(isLoaded bool, now time.Time) {
	if !a.isCounted() {
		return
	}
	a.service.mutex.Lock()
	defer a.service.mutex.Unlock()
	if a.hasResponded || a.isAbandoned || a.hasEnded {
		return
	}
	a.isAbandoned = true
	a.tally.abandon(a.route, a.target, a.level(isLoaded), now.Sub(a.startedAt))
}

// End ends the attempt once nothing of it is in flight any more. It may be called again.
func (a *Attempt) End(now time.Time) {
	if a == nil {
		return
	}
	a.service.mutex.Lock()
	defer a.service.mutex.Unlock()
	if a.hasEnded {
		return
	}
	a.hasEnded = true
	a.service.remove(a)
	if run := a.service.run; run != nil && a.version != run.order.Target {
		run.tally.longestOld = max(run.tally.longestOld, now.Sub(a.startedAt))
	}
}
