package balance

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cranberrywalk/cranberrywalk/inventory"
)

// signals is what one incarnation of a runner has said of itself in its answers. It is
// newer than the runner's record, which may be read late or from an older copy.
type signals struct {
	// isLeaving is never reset: a runner that leaves does not come back as the same
	// incarnation.
	isLeaving bool
}

// maxSignals bounds the incarnations whose signals are kept after their removal.
const maxSignals = 1024

func newSignalsCache() *simplelru.LRU[inventory.Incarnation, *signals] {
	// The only failure of NewLRU is a size below 1.
	cache, _ := simplelru.NewLRU[inventory.Incarnation, *signals](maxSignals, nil)
	return cache
}

// signalsOf returns the signals of an incarnation. The mutex must be held.
func (b *Balancer) signalsOf(entry inventory.Runner) *signals {
	if r := b.runners[entry.ID]; r != nil && r.entry.SameIncarnation(entry) {
		return r.signals
	}
	if s, found := b.signals.Get(entry.Incarnation()); found {
		return s
	}
	s := &signals{}
	b.signals.Add(entry.Incarnation(), s)
	return s
}

// MarkLeaving records that a runner has said in an answer that it is leaving. This
// incarnation is not chosen again, whatever its record says. MarkLeaving reports whether
// that is news: the runner has not said so before and its record does not.
func (b *Balancer) MarkLeaving(entry inventory.Runner) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.signalsOf(entry)
	if s.isLeaving {
		return false
	}
	s.isLeaving = true
	r := b.runners[entry.ID]
	if r == nil || r.signals != s || r.entry.State == inventory.Leaving {
		return false
	}
	b.notify(RunnerSaidLeaving, r)
	return true
}
