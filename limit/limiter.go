package limit

import (
	"maps"
	"slices"
	"time"
)

// Sharing is the way in which daemons share a limit.
type Sharing int

// The ways to share a limit.
const (
	// FollowDemand gives each daemon a share according to its demand.
	FollowDemand Sharing = iota
	// EvenSplit gives each daemon the same share.
	EvenSplit
	// NoSharing gives each daemon the whole limit.
	NoSharing
)

// Options are the settings of a Limiter.
type Options struct {
	// Daemon is the name of this daemon among its peers.
	Daemon  string
	Sharing Sharing
	// DemandTimeConstant is the time constant of the measured demand.
	DemandTimeConstant time.Duration
	// BurstTime sets the capacity of a bucket, which is the share times BurstTime.
	BurstTime time.Duration
	// SilentAfter is the age of a peer's last report above which its share is
	// frozen.
	SilentAfter time.Duration
}

// DefaultOptions returns the settings for a daemon.
func DefaultOptions(daemon string) Options {
	return Options{
		Daemon:             daemon,
		DemandTimeConstant: 2 * time.Second,
		BurstTime:          time.Second,
		SilentAfter:        2 * time.Second,
	}
}

// Demand is the rate at which units of a limit are requested at one daemon.
type Demand struct {
	// Limit is the name of the limit.
	Limit string
	// Rate is in units per second.
	Rate float64
}

// Limiter enforces limits over all daemons by counting locally. It is not safe for
// concurrent use.
type Limiter struct {
	options  Options
	counters map[string]*counter
	// peers holds the other daemons that share the limits, sorted by name.
	peers []string
	// lastReports holds the time of each peer's last report; the zero time means never.
	lastReports map[string]time.Time
}

// New returns a Limiter without limits or peers.
func New(options Options) *Limiter {
	return &Limiter{
		options:     options,
		counters:    make(map[string]*counter),
		lastReports: make(map[string]time.Time),
	}
}

// SetPeers replaces the peers that share the limits.
func (l *Limiter) SetPeers(peers []string) {
	lastReports := make(map[string]time.Time, len(peers))
	for _, peer := range peers {
		lastReports[peer] = l.lastReports[peer]
	}
	l.lastReports = lastReports
	l.peers = slices.Sorted(maps.Keys(lastReports))
}

// SetLimit sets the rate of a limit in units per second; 0 removes the limit.
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
		c.shareUpdated = time.Time{}
	}
}

// Allow takes cost units of a limit. It returns an *ExceededError with the name of the
// limit if too few units are left. It allows any cost if there is no such limit.
func (l *Limiter) Allow(name string, cost float64, now time.Time) error {
	c := l.counters[name]
	if c == nil {
		return nil
	}
	c.recordDemand(cost, now, l.options.DemandTimeConstant)
	if now.Sub(c.shareUpdated) >= shareInterval {
		l.updateShare(c, now)
	}
	if wait, taken := c.take(cost, now, l.options.BurstTime); !taken {
		return &ExceededError{Limit: name, RetryAfter: wait}
	}
	return nil
}

// shareInterval is the time after which this daemon's share is computed again.
const shareInterval = 100 * time.Millisecond

// Demands returns the demands at this daemon, to report them to its peers.
func (l *Limiter) Demands(now time.Time) []Demand {
	var demands []Demand
	for _, name := range slices.Sorted(maps.Keys(l.counters)) {
		c := l.counters[name]
		c.recordDemand(0, now, l.options.DemandTimeConstant)
		if c.demand > minReportedDemand {
			demands = append(demands, Demand{Limit: name, Rate: c.demand})
		}
	}
	return demands
}

// minReportedDemand is the demand in units per second up to which it is not reported
// to peers.
const minReportedDemand = 0.01

// Merge replaces the demands at a peer by its report. It ignores unknown peers.
func (l *Limiter) Merge(peer string, demands []Demand, now time.Time) {
	if _, known := l.lastReports[peer]; !known {
		return
	}
	l.lastReports[peer] = now
	rates := make(map[string]float64, len(demands))
	for _, demand := range demands {
		rates[demand.Limit] = demand.Rate
	}
	for name, c := range l.counters {
		c.peers[peer] = peerShare{demand: rates[name], share: c.peers[peer].share}
		available, total, live := l.liveDemand(c, now)
		c.peers[peer] = peerShare{demand: rates[name], share: allot(rates[name], available, total, live)}
		l.updateShare(c, now)
	}
}

// updateShare computes this daemon's share.
func (l *Limiter) updateShare(c *counter, now time.Time) {
	c.shareUpdated = now
	share := c.rate
	switch l.options.Sharing {
	case EvenSplit:
		share = c.rate / float64(len(l.peers)+1)
	case FollowDemand:
		available, total, live := l.liveDemand(c, now)
		share = allot(c.demand, available, total, live)
	}
	c.setShare(share, now, l.options.BurstTime)
}

// liveDemand considers this daemon and the peers with recent reports. It returns the
// part of a limit that is available to them, their total demand and their number. The
// share of a silent peer as of its last report is frozen, since the peer may still use
// it.
func (l *Limiter) liveDemand(c *counter, now time.Time) (available, total, daemons float64) {
	available, total, daemons = c.rate, c.demand, 1
	for _, peer := range l.peers {
		lastReport := l.lastReports[peer]
		state, known := c.peers[peer]
		switch {
		case lastReport.IsZero() || !known:
			available -= c.rate / float64(len(l.peers)+1)
		case now.Sub(lastReport) > l.options.SilentAfter:
			available -= state.share
		default:
			total += state.demand
			daemons++
		}
	}
	return available, total, daemons
}

// allot returns the share of a daemon with the given demand. If the total demand is
// within the limit, each demand is met and the rest is split evenly; otherwise the
// limit is split in proportion to demand.
func allot(demand, limit, total, daemons float64) float64 {
	if limit <= 0 {
		return 0
	}
	if total <= limit {
		return demand + (limit-total)/daemons
	}
	return limit * demand / total
}
