// Package truetime corrects the VM's time of day by those of other VMs. Most
// VMs are close to the true time; a few may be off by seconds. It has no input
// or output.
package truetime

import (
	"slices"
	"sync"
	"time"
)

// Clock estimates the true time. It is safe for use by several goroutines.
type Clock struct {
	// memory is how long a comparison is used.
	memory time.Duration
	// anchor ties the steady clock to the time of day, so that a jump of the
	// latter changes nothing.
	anchor time.Time

	mutex sync.Mutex
	peers map[string]comparison
}

// comparison is the time of day of a peer less the own anchored one.
type comparison struct {
	ahead time.Duration
	made  time.Time
}

// New returns a clock that follows the VM's own one.
func New(memory time.Duration, now time.Time) *Clock {
	return &Clock{memory: memory, anchor: now, peers: make(map[string]comparison)}
}

// steady returns the time of day as it was at the anchor, moved on by the steady
// clock.
func (c *Clock) steady(now time.Time) time.Time { return c.anchor.Round(0).Add(now.Sub(c.anchor)) }

// Compare notes a peer's time of day. now holds the own time of day and a
// steady reading.
func (c *Clock) Compare(peer string, theirs, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peers[peer] = comparison{ahead: theirs.Sub(c.steady(now)), made: now}
}

// At returns the true time at a reading of the own clock: that of the VM in the
// middle of all.
func (c *Clock) At(now time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	offsets := []time.Duration{0}
	for peer, compared := range c.peers {
		if now.Sub(compared.made) > c.memory {
			delete(c.peers, peer)
			continue
		}
		offsets = append(offsets, compared.ahead)
	}
	slices.Sort(offsets)
	return c.steady(now).Add(offsets[len(offsets)/2])
}
