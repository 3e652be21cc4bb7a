package limit

import (
	"math"
	"time"
)

// counter enforces this daemon's share of one limit by a token bucket.
type counter struct {
	// rate is the limit over all daemons, in units per second.
	rate float64
	// share is this daemon's part of the rate.
	share float64
	// shareUpdated is when the share was last computed.
	shareUpdated time.Time
	// tokens is the number of units available now. It is negative after a call
	// that cost more than the bucket holds.
	tokens   float64
	refilled time.Time
	// demand is the decayed rate of requested units, granted or not.
	demand        float64
	demandUpdated time.Time
	peers         map[string]peerShare
}

// peerShare is the state of a peer for one limit.
type peerShare struct {
	// demand is its last reported demand.
	demand float64
	// share is its share of the rate as of its last report.
	share float64
}

func newCounter(rate float64) *counter {
	return &counter{rate: rate, peers: make(map[string]peerShare)}
}

// recordDemand adds cost units to the measured demand.
func (c *counter) recordDemand(cost float64, now time.Time, constant time.Duration) {
	if passed := now.Sub(c.demandUpdated); passed > 0 {
		c.demand *= math.Exp(-passed.Seconds() / constant.Seconds())
		c.demandUpdated = now
	}
	c.demand += cost / constant.Seconds()
}

// setShare changes the share from now on. A new counter starts with a full bucket.
func (c *counter) setShare(share float64, now time.Time, burst time.Duration) {
	if c.refilled.IsZero() {
		c.tokens, c.refilled = capacity(share, burst), now
	}
	c.refill(now, burst)
	c.share = share
	c.tokens = min(c.tokens, capacity(share, burst))
}

// capacity returns the capacity of a bucket in units. It is at least 1, since with a
// smaller one no unit would ever be granted.
func capacity(share float64, burst time.Duration) float64 {
	return max(1, share*burst.Seconds())
}

// refill adds the units for the time since the last refill.
func (c *counter) refill(now time.Time, burst time.Duration) {
	if passed := now.Sub(c.refilled); passed > 0 {
		c.tokens = min(c.tokens+c.share*passed.Seconds(), capacity(c.share, burst))
		c.refilled = now
	}
}

// take takes cost units and reports whether there were enough; if not, it returns how
// long to wait. A call that costs more than the bucket holds needs a full bucket.
func (c *counter) take(cost float64, now time.Time, burst time.Duration) (time.Duration, bool) {
	c.refill(now, burst)
	needed := min(cost, capacity(c.share, burst))
	if c.tokens >= needed {
		c.tokens -= cost
		return 0, true
	}
	seconds := (needed - c.tokens) / max(c.share, minShare)
	return min(time.Duration(math.Ceil(seconds*float64(time.Second))), maxWait), false
}

const (
	// minShare is the lower bound of the share in the computation of waits, since
	// the share may be zero.
	minShare = 0.001
	// maxWait is the longest wait that is returned to a caller.
	maxWait = time.Minute
)
