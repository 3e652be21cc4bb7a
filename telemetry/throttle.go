package telemetry

import (
	"sync"
	"time"
)

// Throttle limits log lines on events that may repeat many times a second. It is safe for concurrent
// use.
type Throttle struct {
	period time.Duration

	mutex sync.Mutex
	// logged is when a line was last logged; unlogged counts the events since then.
	logged   time.Time
	unlogged int
}

// NewThrottle returns a throttle that allows one line in each period.
func NewThrottle(period time.Duration) *Throttle { return &Throttle{period: period} }

// Take reports whether an event may be logged, and the number of events that were not logged before.
func (t *Throttle) Take(now time.Time) (unlogged int, isDue bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if now.Sub(t.logged) < t.period {
		t.unlogged++
		return 0, false
	}
	unlogged, t.unlogged, t.logged = t.unlogged, 0, now
	return unlogged, true
}
