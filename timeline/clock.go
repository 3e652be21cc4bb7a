package timeline

import (
	"math"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// MaxAhead bounds how far a received stamp may move the clock ahead of the
// machine's own clock.
const MaxAhead = 10 * time.Second

// CounterClamped counts the received stamps that were reduced to MaxAhead.
const CounterClamped = "Timeline.Clamped"

// Clock is a hybrid logical clock, safe for concurrent use. Its readings are
// strictly increasing, even when the machine's clock is set back.
type Clock struct {
	common telemetry.Common
	mutex  sync.Mutex
	// last is the highest stamp that was issued or observed.
	last Stamp
}

// NewClock returns a hybrid logical clock that reads the time from common.Clock.
func NewClock(common telemetry.Common) *Clock {
	return &Clock{common: common}
}

// Now returns a stamp above every earlier one of this process and above every
// stamp that it has observed.
func (c *Clock) Now() Stamp {
	wall := c.common.Clock.Now().UnixMilli()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.last = next(c.last, wall)
	return c.last
}

// Observe merges a stamp from a received message into the clock. A stamp that is
// more than MaxAhead ahead of the machine's clock is reduced to that bound, so
// that one faulty clock cannot advance the clocks of all other processes by more.
func (c *Clock) Observe(received Stamp) {
	limit := c.common.Clock.Now().Add(MaxAhead).UnixMilli()
	if received.Wall > limit {
		c.common.Count(CounterClamped, 1)
		received = Stamp{Wall: limit}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.last.Before(received) {
		c.last = received
	}
}

// next returns the smallest stamp above last that is not before wall.
func next(last Stamp, wall int64) Stamp {
	if wall > last.Wall {
		return Stamp{Wall: wall}
	}
	if last.Counter == math.MaxUint32 {
		return Stamp{Wall: last.Wall + 1}
	}
	return Stamp{Wall: last.Wall, Counter: last.Counter + 1}
}
