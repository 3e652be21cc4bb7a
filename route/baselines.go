package route

import (
	"math"
	"time"
)

// RoundRobin chooses the allowed runners in rotation.
type RoundRobin struct{}

// Name implements Policy.
func (RoundRobin) Name() string { return "round robin" }

// Choose implements Policy.
func (RoundRobin) Choose(call *Call, view *View, _ time.Time) (Decision, error) {
	view.prepare(call)
	for range view.slots {
		view.rotation++
		at := int(view.rotation % uint64(len(view.slots)))
		if view.usable(call, at) {
			return view.decide(call, at), nil
		}
	}
	return Decision{}, &NoBackendError{Known: view.Len()}
}

// LeastInFlight chooses the runner with the fewest calls in flight.
type LeastInFlight struct {
	// OwnOnly ignores the peers' calls in flight. Their digests are stale, and
	// daemons that rely on them all choose the same runner at the same time.
	OwnOnly bool
}

// Name implements Policy.
func (l LeastInFlight) Name() string {
	if l.OwnOnly {
		return "least own in flight"
	}
	return "least in flight"
}

// Choose implements Policy.
func (l LeastInFlight) Choose(call *Call, view *View, _ time.Time) (Decision, error) {
	view.prepare(call)
	best, lowest := -1, math.Inf(1)
	start := 0
	if len(view.slots) > 0 {
		view.rotation++
		start = int(splitMix64(view.rotation) % uint64(len(view.slots)))
	}
	for i := range view.slots {
		at := (start + i) % len(view.slots)
		inFlight := view.slots[at].own.inFlight
		if !l.OwnOnly {
			inFlight = view.inFlight(at)
		}
		if view.usable(call, at) && inFlight < lowest {
			best, lowest = at, inFlight
		}
	}
	if best < 0 {
		return Decision{}, &NoBackendError{Known: view.Len()}
	}
	return view.decide(call, best), nil
}

// PrefixHash chooses a runner by rendezvous hashing of the prompt's leading blocks,
// regardless of load.
type PrefixHash struct {
	// KeyBlocks is the number of leading blocks that form the key.
	KeyBlocks int
}

// Name implements Policy.
func (PrefixHash) Name() string { return "prefix hashing" }

// Choose implements Policy.
func (p PrefixHash) Choose(call *Call, view *View, _ time.Time) (Decision, error) {
	return view.chooseByRendezvous(call, p.KeyBlocks, math.Inf(1))
}

// BoundedHash chooses a runner by rendezvous hashing of the prompt's leading blocks
// among those that have at most Bound times the mean calls in flight.
type BoundedHash struct {
	// KeyBlocks is the number of leading blocks that form the key.
	KeyBlocks int
	// Bound is the largest ratio of a runner's calls in flight to the mean.
	Bound float64
}

// Name implements Policy.
func (BoundedHash) Name() string { return "hashing with bounded loads" }

// Choose implements Policy.
func (b BoundedHash) Choose(call *Call, view *View, _ time.Time) (Decision, error) {
	var inFlight, runners float64
	for at := range view.slots {
		if view.usable(call, at) {
			inFlight += view.inFlight(at)
			runners++
		}
	}
	return view.chooseByRendezvous(call, b.KeyBlocks, math.Ceil(b.Bound*(inFlight+1)/runners))
}

// chooseByRendezvous chooses the first runner in rendezvous order that has fewer than
// maxInFlight calls in flight.
func (v *View) chooseByRendezvous(call *Call, keyBlocks int, maxInFlight float64) (Decision, error) {
	v.prepare(call)
	key := v.rendezvousKey(call, keyBlocks)
	best := -1
	var highest uint64
	for at := range v.slots {
		if !v.usable(call, at) || v.inFlight(at) >= maxInFlight {
			continue
		}
		if weight := splitMix64(key ^ v.slots[at].hash); best < 0 || weight > highest {
			best, highest = at, weight
		}
	}
	if best < 0 {
		return Decision{}, &NoBackendError{Known: v.Len()}
	}
	return v.decide(call, best), nil
}

// usable reports whether the slot has a runner that the call may go to.
func (v *View) usable(call *Call, at int) bool {
	runner := &v.slots[at].runner
	return runner.Name != "" && call.allows(runner)
}

// inFlight returns the known calls in flight at the runner of a slot, over all
// daemons.
func (v *View) inFlight(at int) float64 {
	return v.slots[at].own.inFlight + v.slots[at].peers.inFlight
}
