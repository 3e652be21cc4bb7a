package limit

import (
	"maps"
	"slices"
	"time"
)

// Sharing says how daemons share a limit.
type Sharing int

// The ways to share a limit.
const (
	// FollowDemand gives each daemon a share by its part of the demand.
	FollowDemand Sharing = iota
	// EvenSplit gives each daemon the same share.
	EvenSplit
	// NoSharing gives each daemon the whole limit.
	NoSharing
)

// Options are the settings of a Limiter.
type Options struct {
	// Daemon identifies this daemon among its peers.
	Daemon  string
	Sharing Sharing
	// DemandTime is the time constant of the measured demand.
	DemandTime time.Duration
	// BurstTime is the time whose worth of a limit may be used at once.
	BurstTime time.Duration
	// SilentAfter is the age of a peer's last message above which its share
	// is frozen.
	SilentAfter time.Duration
}

// DefaultOptions returns the settings for a daemon.
func DefaultOptions(daemon string) Options {
	return Options{
		Daemon:      daemon,
		DemandTime:  2 * time.Second,
		BurstTime:   time.Second,
		SilentAfter: 2 * time.Second,
	}
}

// Demand is the rate at which one daemon is asked for units of a limit.
type Demand struct {
	// Limit is the name of the limit.
	Limit string
	// Rate is in units a second.
	Rate float64
}

// Limiter holds limits over all daemons by counting locally. It is not safe
// for use by several goroutines.
type Limiter struct {
	options  Options
	counters map[string]*counter
	// peers are the daemons that share the limits, in order.
	peers []string
	// heard holds when each peer was last heard; the zero time is never.
	heard map[string]time.Time
}

// New returns a Limiter without limits and peers.
func New(options Options) *Limiter {
	return &Limiter{
		options:  options,
		counters: make(map[string]*counter),
		heard:    make(map[string]time.Time),
	}
}

// SetPeers replaces the peers that share the limits.
func (l *Limiter) SetPeers(peers []string) {
	heard := make(map[string]time.Time, len(peers))
	for _, peer := range peers {
		heard[peer] = l.heard[peer]
	}
	l.heard = heard
	l.peers = slices.Sorted(maps.Keys(heard))
}

// SetLimit sets the rate of a limit in units a second; 0 removes the limit.
func (l *Limiter) SetLimit(name string, rate float64) {
	c := l.counters[name]
	switch {
	case rate <= 0:
		delete(l.counters, name)
	case c == nil:
		l.counters[name] = newCounter(rate)
	case c.rate != rate:
		c.rate = rate
		c.peers = make(map[string]peerShare)
		c.shared = time.Time{}
	}
}

// Allow takes cost units of a limit. It returns an *ExceededError with the name
// of the limit when it
// has no room, and always allows when there is no such limit.
func (l *Limiter) Allow(name string, cost float64, now time.Time) error {
	c := l.counters[name]
	if c == nil {
		return nil
	}
	c.note(cost, now, l.options.DemandTime)
	if now.Sub(c.shared) >= sharePeriod {
		l.reshare(c, now)
	}
	if wait, taken := c.take(cost, now, l.options.BurstTime); !taken {
		return &ExceededError{Limit: name, RetryAfter: wait}
	}
	return nil
}

// sharePeriod is the time after which the own share is worked out again.
const sharePeriod = 100 * time.Millisecond

// Demands returns the demand at this daemon, for its peers.
func (l *Limiter) Demands(now time.Time) []Demand {
	var demands []Demand
	for _, name := range slices.Sorted(maps.Keys(l.counters)) {
		c := l.counters[name]
		c.note(0, now, l.options.DemandTime)
		if c.demand > leastDemand {
			demands = append(demands, Demand{Limit: name, Rate: c.demand})
		}
	}
	return demands
}

// leastDemand is the demand in units a second below which peers are not told.
const leastDemand = 0.01

// Merge takes over the demand at a peer. It ignores unknown peers.
func (l *Limiter) Merge(peer string, demands []Demand, now time.Time) {
	if _, known := l.heard[peer]; !known {
		return
	}
	l.heard[peer] = now
	rates := make(map[string]float64, len(demands))
	for _, demand := range demands {
		rates[demand.Limit] = demand.Rate
	}
	for name, c := range l.counters {
		c.peers[peer] = peerShare{demand: rates[name], share: c.peers[peer].share}
		left, total, live := l.live(c, now)
		c.peers[peer] = peerShare{demand: rates[name], share: allot(rates[name], left, total, live)}
		l.reshare(c, now)
	}
}

// reshare works out the own share.
func (l *Limiter) reshare(c *counter, now time.Time) {
	c.shared = now
	share := c.rate
	switch l.options.Sharing {
	case EvenSplit:
		share = c.rate / float64(len(l.peers)+1)
	case FollowDemand:
		left, total, live := l.live(c, now)
		share = allot(c.demand, left, total, live)
	}
	c.setShare(share, now, l.options.BurstTime)
}

// live returns the part of a limit that is left for the daemons that hear each
// other, their demand and their number. The share that a silent peer had when
// it was last heard is frozen, since it may still use it.
func (l *Limiter) live(c *counter, now time.Time) (left, total, daemons float64) {
	left, total, daemons = c.rate, c.demand, 1
	for _, peer := range l.peers {
		heard := l.heard[peer]
		share, known := c.peers[peer]
		switch {
		case heard.IsZero() || !known:
			left -= c.rate / float64(len(l.peers)+1)
		case now.Sub(heard) > l.options.SilentAfter:
			left -= share.share
		default:
			total += share.demand
			daemons++
		}
	}
	return left, total, daemons
}

// allot returns the share of a daemon with a demand. Demand below the limit is
// met and the rest is split evenly; demand above it is cut in proportion.
func allot(demand, limit, total, daemons float64) float64 {
	if limit <= 0 {
		return 0
	}
	if total <= limit {
		return demand + (limit-total)/daemons
	}
	return limit * demand / total
}
