// Package clocksync corrects the VM's wall clock by the median of the wall clocks
// of all VMs. It assumes that most VMs are close to the true time and a few may
// be off by seconds. It does no I/O.
package clocksync

import (
	"slices"
	"sync"
	"time"
)

// Clock estimates the true time. It is safe for concurrent use.
type Clock struct {
	// maxAge is how long a sample is used.
	maxAge time.Duration
	// anchor is a reading with both wall clock and monotonic time. Later
	// readings are derived from it by the monotonic clock, so that a step of
	// the wall clock has no effect.
	anchor time.Time

	mutex sync.Mutex
	// peers holds the latest sample of each peer.
	peers map[string]sample
}

// sample is the measured offset of a peer's wall clock from the anchored local one.
type sample struct {
	offset  time.Duration
	takenAt time.Time
}

// New returns a clock that follows the local wall clock until it has samples of
// peers, each of which it uses for maxAge.
func New(maxAge time.Duration, now time.Time) *Clock {
	return &Clock{maxAge: maxAge, anchor: now, peers: make(map[string]sample)}
}

// anchored returns the wall clock time at the anchor, advanced by the monotonic
// clock.
func (c *Clock) anchored(now time.Time) time.Time { return c.anchor.Round(0).Add(now.Sub(c.anchor)) }

// AddSample records that a peer's wall clock showed theirs at now, a reading of the
// local clock with monotonic time.
func (c *Clock) AddSample(peer string, theirs, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peers[peer] = sample{offset: theirs.Sub(c.anchored(now)), takenAt: now}
}

// At returns the estimated true time at a reading of the local clock, which is
// corrected by the median offset of all VMs, the local one included.
func (c *Clock) At(now time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	offsets := []time.Duration{0}
	for peer, s := range c.peers {
		if now.Sub(s.takenAt) > c.maxAge {
			delete(c.peers, peer)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	return c.anchored(now).Add(offsets[len(offsets)/2])
}
