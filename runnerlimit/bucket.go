package runnerlimit

import "time"

// bucket is a token bucket that fills at this daemon's share of a limit.
type bucket struct {
	share Share
	// sharedAt is when the share was computed; zero if it has to be.
	sharedAt time.Time
	// level is the number of requests that may be sent now, as of refilledAt. It is negative
	// after a request that had to be sent.
	level      float64
	refilledAt time.Time
}

// burstTime is for how long an unused share is kept, if that is more than one request.
const burstTime = 250 * time.Millisecond

// capacity returns the number of requests that may be kept for later.
func (b *bucket) capacity() float64 { return max(b.share.PerSecond*burstTime.Seconds(), 1) }

// refill adds the share since the last refill.
func (b *bucket) refill(now time.Time) {
	passed := now.Sub(b.refilledAt).Seconds()
	if passed <= 0 {
		return
	}
	b.level = min(b.level+passed*b.share.PerSecond, b.capacity())
	b.refilledAt = now
}

// setShare replaces the share. What was kept for later ends with it: many daemons that take turns
// would otherwise keep a request each and send all of them at once.
func (b *bucket) setShare(share Share, now time.Time) {
	b.share, b.sharedAt = share, now
	if share.PerSecond == 0 {
		b.level = min(b.level, 0)
	}
}
