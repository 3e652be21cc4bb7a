package gateway

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/catalog"
)

// abandonCheckInterval is how long a silent attempt goes on before it is checked again
// whether another one can be made instead.
const abandonCheckInterval = 250 * time.Millisecond

// idleWatchdog abandons an attempt whose runner is silent for too long, once the next
// attempt is secured. Until then the attempt goes on, since its runner may still answer.
type idleWatchdog struct {
	exchange *exchange
	ticket   *balance.Ticket
	// cancel ends the attempt.
	cancel context.CancelCauseFunc
	// timer is nil if the attempt is never abandoned.
	timer clockwork.Timer

	// The fields below are guarded by the mutex of the exchange.

	// timeout is the current limit on the time without data from the runner.
	timeout time.Duration
	// lastData is when the attempt began or last received data.
	lastData time.Time
	// stopped is true when the attempt has ended.
	stopped bool
}

// startIdleWatchdog returns a watchdog for an attempt. The watchdog has no timer if
// the request may not be repeated or this is its last attempt, since it can then only
// wait.
func (x *exchange) startIdleWatchdog(ticket *balance.Ticket, cancel context.CancelCauseFunc) *idleWatchdog {
	now := x.Clock.Now()
	w := &idleWatchdog{exchange: x, ticket: ticket, cancel: cancel, timeout: x.firstDataTimeout(now), lastData: now}
	if !x.route.Repeatable() || x.writtenAttempts+1 >= x.route.MaxAttempts {
		return w
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
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

// check abandons the attempt if its runner is silent and the next attempt can be
// secured. Otherwise it sets the timer again.
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
	if !x.isMoved() && !x.secureNext(now) {
		w.timer.Reset(abandonCheckInterval)
		return
	}
	w.cancel(&AttemptTimeoutError{Runner: x.choice.Runner.ID})
}

// remaining returns how much of the timeout is left since the runner last sent data.
// Events for other streams of this daemon count as well: the runner is working off a
// queue, which another attempt would only lengthen. The mutex must be held.
func (w *idleWatchdog) remaining(now time.Time) time.Duration {
	last := w.lastData
	if activity := w.ticket.LastActivity(); w.exchange.route.Kind == catalog.Stream && activity.After(last) {
		last = activity
	}
	return w.timeout - now.Sub(last)
}

// recordHead records that the head of a response has arrived.
func (w *idleWatchdog) recordHead(now time.Time) {
	w.exchange.mutex.Lock()
	defer w.exchange.mutex.Unlock()
	w.lastData = now
}

// recordEvent restarts the timer after an event of the stream.
func (w *idleWatchdog) recordEvent(now time.Time) {
	w.ticket.RecordActivity(now)
	if w.timer == nil {
		return
	}
	w.exchange.mutex.Lock()
	defer w.exchange.mutex.Unlock()
	w.lastData = now
	w.timeout = w.exchange.options.StreamIdleTimeout
	w.timer.Reset(w.timeout)
}

// stop ends the watch. Afterwards the attempt is no longer abandoned.
func (w *idleWatchdog) stop() {
	w.exchange.mutex.Lock()
	defer w.exchange.mutex.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
