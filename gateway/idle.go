package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/balance"
)

// idleWatchdog ends an attempt whose runner has sent nothing for too long, neither
// for this request nor for any other request of this daemon. A runner that sends
// events for other requests is working off a queue, which another attempt would
// only lengthen.
type idleWatchdog struct {
	ticket *balance.Ticket
	// timer is nil if the attempt has no idle timeout.
	timer clockwork.Timer

	mutex sync.Mutex
	// timeout is the current limit on the time without data from the runner;
	// guarded by mutex.
	timeout time.Duration
	// idleTimeout is the limit after the first event.
	idleTimeout time.Duration
}

// startIdleWatchdog returns a watchdog for an attempt. The watchdog has no timer if
// the stream is not resumable or this is its last attempt, since the stream can then
// only wait.
func (x *exchange) startIdleWatchdog(ticket *balance.Ticket, cancel context.CancelCauseFunc) *idleWatchdog {
	w := &idleWatchdog{ticket: ticket, idleTimeout: x.options.StreamIdleTimeout}
	if !x.route.Repeatable() || x.writtenAttempts+1 >= x.route.MaxAttempts {
		return w
	}
	left := x.timeLeft(x.Clock.Now())
	w.timeout = max(2*x.route.TargetLatency, x.options.StreamIdleTimeout)
	w.timeout = min(w.timeout, time.Duration(x.options.FirstEventShare*float64(left)))
	runner := x.choice.Runner.ID
	ready := make(chan struct{})
	w.timer = x.Clock.AfterFunc(w.timeout, func() {
		<-ready
		if remaining := w.remaining(x.Clock.Now()); remaining > 0 {
			w.timer.Reset(remaining)
			return
		}
		cancel(&AttemptTimeoutError{Runner: runner})
	})
	close(ready)
	return w
}

// remaining returns how much of the timeout is left since the runner last sent data.
// It is positive if the runner has meanwhile sent something for another request.
func (w *idleWatchdog) remaining(now time.Time) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.timeout - now.Sub(w.ticket.LastActivity())
}

// recordEvent restarts the timer after an event of the stream.
func (w *idleWatchdog) recordEvent(now time.Time) {
	w.ticket.RecordActivity(now)
	if w.timer == nil {
		return
	}
	w.mutex.Lock()
	w.timeout = w.idleTimeout
	w.mutex.Unlock()
	w.timer.Reset(w.idleTimeout)
}

func (w *idleWatchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
