package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/balance"
)

// silenceWatch ends an attempt whose runner sends nothing for too long, to this
// request and to all others of the daemon. A runner that sends to others works
// off a queue, which another attempt would only make longer.
type silenceWatch struct {
	ticket *balance.Ticket
	// timer is nil for an attempt that is not watched.
	timer clockwork.Timer

	mutex sync.Mutex
	// allowed is how long the runner may be silent now; guarded by mutex.
	allowed time.Duration
	// later is how long it may be after its first event.
	later time.Duration
}

// watchSilence returns a watch over an attempt. Streams that can't go on
// elsewhere are not watched: waiting is all that can be done for them.
func (v *visit) watchSilence(ticket *balance.Ticket, cancel context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{ticket: ticket, later: v.options.StreamSilence}
	if !v.route.Repeatable() || v.sent+1 >= v.route.MaxAttempts {
		return w
	}
	left := v.timeLeft(v.Clock.Now())
	w.allowed = max(2*v.route.Target, v.options.StreamSilence)
	w.allowed = min(w.allowed, time.Duration(v.options.FirstEventShare*float64(left)))
	runner := v.choice.Runner.ID
	ready := make(chan struct{})
	w.timer = v.Clock.AfterFunc(w.allowed, func() {
		<-ready
		if rest := w.rest(v.Clock.Now()); rest > 0 {
			w.timer.Reset(rest)
			return
		}
		cancel(&SilentError{Runner: runner})
	})
	close(ready)
	return w
}

// rest returns how much longer the runner may be silent, since it has sent
// something to another request.
func (w *silenceWatch) rest(now time.Time) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.allowed - now.Sub(w.ticket.LastHeard())
}

// heard notes an event of the watched stream.
func (w *silenceWatch) heard(now time.Time) {
	w.ticket.Heard(now)
	if w.timer == nil {
		return
	}
	w.mutex.Lock()
	w.allowed = w.later
	w.mutex.Unlock()
	w.timer.Reset(w.later)
}

func (w *silenceWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
