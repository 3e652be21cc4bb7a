package balance

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/runnerlimit"
)

// signals is what one incarnation of a runner has said of itself in answers. It is
// newer than the runner's record, which may be read late or from an older copy.
type signals struct {
	// isLeaving is never reset: a runner that leaves does not come back as the same
	// incarnation.
	isLeaving bool
	// pausedUntil is the latest end of the times for which it wants no requests. It
	// never decreases.
	pausedUntil time.Time
	// limit is what it has said of how many requests it takes.
	limit runnerlimit.Limit
	// invalidLimitAt is when an invalid limit was last reported; zero before the first.
	invalidLimitAt time.Time
	// probedAt is when this daemon last probed whether the limit is still in force.
	probedAt time.Time
}

// pauseLeft returns how much longer the incarnation wants no requests, or zero.
func (s *signals) pauseLeft(now time.Time) time.Duration { return max(s.pausedUntil.Sub(now), 0) }

// maxSignals bounds the incarnations whose signals are kept after their removal.
const maxSignals = 1024

func newSignalsCache() *simplelru.LRU[inventory.Incarnation, *signals] {
	// The only failure of NewLRU is a size below 1.
	cache, _ := simplelru.NewLRU[inventory.Incarnation, *signals](maxSignals, nil)
	return cache
}

// signalsOf returns the signals of an incarnation. The mutex must be held.
func (b *Balancer) signalsOf(incarnation inventory.Incarnation) *signals {
	if r := b.runners[incarnation.ID]; r != nil && r.entry.Incarnation() == incarnation {
		return r.signals
	}
	if s, found := b.signals.Get(incarnation); found {
		return s
	}
	s := &signals{}
	b.signals.Add(incarnation, s)
	return s
}

// MarkLeaving records that a runner has said in an answer that it is leaving. This
// incarnation is not chosen again, whatever its record says. MarkLeaving reports whether
// that is news: it was not known before and the record does not say so.
func (b *Balancer) MarkLeaving(entry inventory.Runner) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.markLeaving(entry.Incarnation())
}

// markLeaving implements MarkLeaving. The mutex must be held.
func (b *Balancer) markLeaving(incarnation inventory.Incarnation) bool {
	s := b.signalsOf(incarnation)
	if s.isLeaving {
		return false
	}
	s.isLeaving = true
	r := b.runners[incarnation.ID]
	if r == nil || r.signals != s || r.entry.State == inventory.Leaving {
		return false
	}
	b.notify(RunnerSaidLeaving, r)
	return true
}

// IsLeaving reports whether an incarnation of a runner is leaving or was removed.
func (b *Balancer) IsLeaving(entry inventory.Runner) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.signalsOf(entry.Incarnation()).isLeaving {
		return true
	}
	r := b.runners[entry.ID]
	return r == nil || !r.entry.SameIncarnation(entry) || r.entry.State == inventory.Leaving
}

// PausedError reports that a runner wants no requests for a while.
type PausedError struct {
	Runner string
	Left   time.Duration
}

// Error implements error.
func (e *PausedError) Error() string {
	return "runner " + e.Runner + " wants no requests for " + e.Left.String()
}

// Pause records that a runner has turned a request away and wants no others for a time.
// This incarnation is not chosen until then.
func (b *Balancer) Pause(entry inventory.Runner, wanted time.Duration, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.signalsOf(entry.Incarnation())
	wasPaused := s.pauseLeft(now) > 0
	if end := now.Add(wanted); end.After(s.pausedUntil) {
		s.pausedUntil = end
	}
	r := b.runners[entry.ID]
	if wasPaused || r == nil || r.signals != s {
		return
	}
	b.report(HealthChange{Kind: RunnerPaused, Runner: entry.ID, Zone: r.entry.Zone, Pause: wanted})
}

// PauseLeft returns how much longer a runner wants no requests, or zero.
func (b *Balancer) PauseLeft(id string, now time.Time) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r := b.runners[id]
	if r == nil {
		return 0
	}
	return r.signals.pauseLeft(now)
}

// ServicePauseLeft returns the time until the first runner of a service wants requests
// again, or zero if one does now or none will.
func (b *Balancer) ServicePauseLeft(service string, now time.Time) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.servicePauseLeft(service, "", now)
}

// servicePauseLeft returns the same for the runners of one software version, or of all if version
// is empty. The mutex must be held.
func (b *Balancer) servicePauseLeft(service, version string, now time.Time) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, r := range b.ordered {
		if r.entry.Service == service && r.hasVersion(version) && r.isAvailable() {
			shortest = min(shortest, r.signals.pauseLeft(now))
		}
	}
	if shortest == math.MaxInt64 {
		return 0
	}
	return shortest
}
