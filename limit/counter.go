package limit

import (
	"math"
	"time"
)

// counter counts the use of one limit at this daemon by a token bucket.
type counter struct {
	// rate is the limit over all daemons in units a second.
	rate float64
	// share is the own part of the rate.
	share float64
	// shared is when the share was last worked out.
	shared time.Time
	// tokens are the units that may be used now. They are negative after a
	// call that cost more than the bucket holds.
	tokens   float64
	refilled time.Time
	// demand is the decayed rate of units asked for, granted or not.
	demand float64
	noted  time.Time
	peers  map[string]peerShare
}

// peerShare is what is known of a peer for one limit.
type peerShare struct {
	// demand is its last reported demand.
	demand float64
	// share is what it was entitled to when it was last heard.
	share float64
}

func newCounter(rate float64) *counter {
	return &counter{rate: rate, peers: make(map[string]peerShare)}
}

// note adds cost units to the measured demand.
func (c *counter) note(cost float64, now time.Time, constant time.Duration) {
	if passed := now.Sub(c.noted); passed > 0 {
		c.demand *= math.Exp(-passed.Seconds() / constant.Seconds())
		c.noted = now
	}
	c.demand += cost / constant.Seconds()
}

// setShare changes the share from now on. A new counter starts full.
func (c *counter) setShare(share float64, now time.Time, burst time.Duration) {
	if c.refilled.IsZero() {
		c.tokens, c.refilled = capacity(share, burst), now
	}
	c.refill(now, burst)
	c.share = share
	c.tokens = min(c.tokens, capacity(share, burst))
}

// capacity returns the most units that a bucket holds. One unit has to fit,
// or a small share would never grant any.
func capacity(share float64, burst time.Duration) float64 {
	return max(1, share*burst.Seconds())
}

// refill adds the units of the time that has passed.
func (c *counter) refill(now time.Time, burst time.Duration) {
	if passed := now.Sub(c.refilled); passed > 0 {
		c.tokens = min(c.tokens+c.share*passed.Seconds(), capacity(c.share, burst))
		c.refilled = now
	}
}

// take uses cost units and reports whether there were enough; if not, it
// returns how long to wait. A call that costs more than the bucket holds needs
// a full bucket.
func (c *counter) take(cost float64, now time.Time, burst time.Duration) (time.Duration, bool) {
	c.refill(now, burst)
	needed := min(cost, capacity(c.share, burst))
	if c.tokens >= needed {
		c.tokens -= cost
		return 0, true
	}
	seconds := (needed - c.tokens) / max(c.share, leastShare)
	return min(time.Duration(math.Ceil(seconds*float64(time.Second))), longestWait), false
}

const (
	// leastShare bounds the wait when the share is nothing.
	leastShare = 0.001
	// longestWait is the longest wait that is told.
	longestWait = time.Minute
)
