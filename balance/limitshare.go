package balance

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/runnerlimit"
)

// LimitState is the limit of a runner as this daemon sees it. It is zero without a limit.
type LimitState struct {
	PerSecond float64
	// ObservedBy is the daemon that got the newest answer that named the limit, and Age the time
	// since then.
	ObservedBy string
	Age        time.Duration
	// Share is this daemon's part in requests a second, which it shares with the other Senders.
	Share   float64
	Senders int
}

// LimitReachedError reports that a runner gets no more requests from this daemon for now.
type LimitReachedError struct {
	Runner    string
	PerSecond float64
}

// Error implements error.
func (e *LimitReachedError) Error() string {
	return fmt.Sprintf("runner %s takes %g requests a second, and this daemon has used up its share", e.Runner, e.PerSecond)
}

// refreshLimit brings this daemon's share of a runner's limit up to date. The mutex must be held.
func (b *Balancer) refreshLimit(s *signals, entry inventory.Runner, now time.Time) *runnerlimit.Limit {
	s.limit.Refresh(func(perSecond float64) runnerlimit.Share {
		runner := runnerlimit.Runner{Hash: entry.Incarnation().Hash(), Service: entry.Service, Zone: entry.Zone}
		return b.daemons.Share(runner, perSecond, now)
	}, now)
	return &s.limit
}

// isWithinLimit reports whether a runner may get a request from this daemon. The mutex must be
// held.
func (b *Balancer) isWithinLimit(r *runner, request Request, now time.Time) bool {
	l := b.refreshLimit(r.signals, r.entry, now)
	if request.Continues {
		return l.MayOverdraw()
	}
	return l.MayTake()
}

// limitState returns the limit of a runner. The mutex must be held.
func (b *Balancer) limitState(r *runner, now time.Time) LimitState {
	l := &r.signals.limit
	if !l.IsInForce() {
		return LimitState{}
	}
	s, share := l.Statement(), l.Share()
	return LimitState{
		PerSecond: s.PerSecond, ObservedBy: s.ObservedBy, Age: now.Sub(s.Received), Share: share.PerSecond, Senders: share.Senders,
	}
}

// withoutLimits returns the runners without a limit, or all if there are none. A prompt is not
// cached at a runner that can take only some of the requests that share it.
func withoutLimits(runners []*runner) []*runner {
	var unlimited []*runner
	for _, r := range runners {
		if !r.signals.limit.IsInForce() {
			unlimited = append(unlimited, r)
		}
	}
	if len(unlimited) == 0 {
		return runners
	}
	return unlimited
}

// brokenScore is the failure score from which on a runner counts as broken. A runner that is left
// alone falls below it after a while and is tried again.
const brokenScore = 0.7

// withoutBroken returns the runners that do not fail nearly all requests. The mutex must be held.
func (b *Balancer) withoutBroken(runners []*runner, now time.Time) []*runner {
	return slices.DeleteFunc(runners, func(r *runner) bool {
		return r.decayedFailureScore(now, b.options.FailureTimeConstant) >= brokenScore
	})
}

// probeAfter is the age of what a runner has said of its limit above which it is sent a request
// whatever its cost, as a probe. Otherwise the end of the limit would not be noticed.
const probeAfter = 3 * time.Second

// probeRetryAfter is the time from a probe without an answer to the next one.
const probeRetryAfter = 4 * probeAfter

// runnerToProbe returns a runner that has to be probed for the end of its limit, or nil. One of the
// daemons that share the limit does so. The mutex must be held.
func (b *Balancer) runnerToProbe(runners []*runner, now time.Time) *runner {
	for _, r := range runners {
		if l := &r.signals.limit; l.IsInForce() && l.Share().Rank == 0 && r.signals.isProbeDue(now) {
			r.signals.probedAt = now
			return r
		}
	}
	return nil
}

// isProbeDue reports whether the last statement on the limit is old, and the last probe too.
func (s *signals) isProbeDue(now time.Time) bool {
	heard := s.limit.Statement().Received
	if s.probedAt.After(heard) {
		return now.Sub(s.probedAt) > probeRetryAfter
	}
	return now.Sub(heard) > probeAfter
}

const (
	// minTurn and maxTurn bound the time until a request that is refused for limits may come
	// back. A later turn than maxTurn is replaced by a random one before it.
	minTurn = 50 * time.Millisecond
	maxTurn = 10 * time.Second
)

// NextTurn returns when a request that is refused for limits may come back. Each call gets a later
// turn, as far apart as this daemon's part of the limits allows.
func (b *Balancer) NextTurn(service string, now time.Time) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	perSecond := 0.0
	for _, r := range b.ordered {
		if r.entry.Service == service && r.isAvailable() {
			perSecond += r.signals.limit.Statement().PerSecond
		}
	}
	if perSecond == 0 {
		return maxTurn
	}
	turn := b.turns[service]
	if turn.Before(now) {
		turn = now
	}
	between := float64(b.daemons.Senders(service, now)) / perSecond
	turn = turn.Add(time.Duration(min(between, maxTurn.Seconds()) * float64(time.Second)))
	if wait := turn.Sub(now); wait <= maxTurn {
		b.turns[service] = turn
		return max(wait, minTurn)
	}
	return time.Duration(math.Round(float64(maxTurn) * (1 + b.random.Float64()) / 2))
}
