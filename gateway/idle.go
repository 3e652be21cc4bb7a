package gateway

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/catalog"
)

// replaceCheckInterval is how long a silent attempt goes on before it is checked again
// whether another one can be made beside it.
const replaceCheckInterval = 250 * time.Millisecond

// idleWatchdog begins a replacement for an attempt whose runner is silent for too long.
// The attempt goes on until the replacement is accepted, since its runner may still
// answer.
type idleWatchdog struct {
	exchange *exchange
	attempt  *attempt
	// timer is nil if the attempt is never replaced.
	timer clockwork.Timer

	// The fields below are guarded by the mutex of the exchange.

	// timeout is the current limit on the time without data from the runner.
	timeout time.Duration
	// stopped is true when the attempt has ended.
	stopped bool
}

// startIdleWatchdog returns a watchdog for an attempt. The watchdog has no timer if
// the request may not be repeated or this is its last attempt, since it can then only
// wait.
func (x *exchange) startIdleWatchdog(a *attempt) *idleWatchdog {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	w := &idleWatchdog{exchange: x, attempt: a, timeout: x.firstDataTimeout(x.Clock.Now())}
	x.watchdog = w
	if !x.route.Repeatable() || x.writtenAttempts+1 >= x.route.MaxAttempts {
		return w
	}
	w.timer = x.Clock.AfterFunc(w.timeout, w.check)
	return w
}

// firstDataTimeout returns how long an attempt may last without data from its runner.
func (x *exchange) firstDataTimeout(now time.Time) time.Duration {
	share := time.Duration(x.options.FirstEventShare * float64(x.timeLeft(now)))
	if x.route.Kind != catalog.Stream {
		return share
	}
	return min(share, max(2*x.route.TargetLatency, x.options.StreamIdleTimeout))
}

// check begins a replacement if the runner is silent and another attempt can be made. An
// attempt whose run was moved is abandoned at once. The timer is set again, since the
// replacement may be silent too.
func (w *idleWatchdog) check() {
	x := w.exchange
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if w.stopped {
		return
	}
	now := x.Clock.Now()
	if remaining := w.remaining(now); remaining > 0 {
		w.timer.Reset(remaining)
		return
	}
	if x.isMoved() {
		w.attempt.cancel(&AttemptTimeoutError{Runner: x.choice.Runner.ID})
		return
	}
	if x.replace(w.timeout-w.remaining(now), now) {
		w.timer.Reset(w.timeout)
		return
	}
	w.timer.Reset(replaceCheckInterval)
}

// recheck checks the attempt at once. The mutex must be held.
func (w *idleWatchdog) recheck() {
	if w.timer != nil && !w.stopped {
		w.timer.Reset(0)
	}
}

// remaining returns how much of the timeout is left since the runner last sent data.
// Events for other streams of this daemon count as well: the runner is working off a
// queue, which another attempt would only lengthen. The mutex must be held.
func (w *idleWatchdog) remaining(now time.Time) time.Duration {
	last := w.attempt.lastData
	if activity := w.attempt.ticket.LastActivity(); w.exchange.route.Kind == catalog.Stream && activity.After(last) {
		last = activity
	}
	return w.timeout - now.Sub(last)
}

// recordHead records that the head of a response has arrived.
func (x *exchange) recordHead(a *attempt) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	a.lastData = x.Clock.Now()
	a.answeredAt, a.silentSince = a.lastData, time.Time{}
}

// recordEvent records an event that is going to be forwarded and restarts the timer. The
// replacements are not needed any more. It returns false if one of them was accepted
// before: the event is not forwarded then, since that attempt will send it.
func (w *idleWatchdog) recordEvent(e event, now time.Time) bool {
	w.attempt.ticket.RecordActivity(now)
	x := w.exchange
	x.recordData(w.attempt, now)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.replacements.accepted != nil {
		return false
	}
	x.releasePending()
	x.recordProgress(w.attempt, now)
	x.version = w.attempt.choice.Runner.Version
	x.isTyped = x.isTyped || w.attempt.isTyped
	if e.hasID {
		x.lastEvent = e.id
	}
	w.attempt.lastData, w.attempt.silentSince = now, time.Time{}
	if w.timer != nil {
		w.timeout = x.options.StreamIdleTimeout
		w.timer.Reset(w.timeout)
	}
	return true
}

// stop ends the watch. Afterwards no replacement is begun.
func (w *idleWatchdog) stop() {
	w.exchange.mutex.Lock()
	defer w.exchange.mutex.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
