package route

import (
	"math"
	"time"
)

// RoundRobin gives each runner its turn.
type RoundRobin struct{}

// Name implements Policy.
func (RoundRobin) Name() string { return "round robin" }

// Choose implements Policy.
func (RoundRobin) Choose(call *Call, view *View, _ time.Time) (Decision, error) {
	view.match(call)
	for range view.slots {
		view.turn++
		at := int(view.turn % uint64(len(view.slots)))
		if view.usable(call, at) {
			return view.decide(call, at), nil
		}
	}
	return Decision{}, &NoBackendError{Known: view.Len()}
}

// LeastInFlight chooses the runner with the fewest calls in flight.
type LeastInFlight struct {
	// OwnOnly leaves out the peers' calls in flight. Their digests are old,
	// and daemons that follow them choose the same runner at once.
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
	view.match(call)
	best, lowest := -1, math.Inf(1)
	start := 0
	if len(view.slots) > 0 {
		view.turn++
		start = int(mix(view.turn) % uint64(len(view.slots)))
	}
	for i := range view.slots {
		at := (start + i) % len(view.slots)
		streams := view.slots[at].own.streams
		if !l.OwnOnly {
			streams = view.streams(at)
		}
		if view.usable(call, at) && streams < lowest {
			best, lowest = at, streams
		}
	}
	if best < 0 {
		return Decision{}, &NoBackendError{Known: view.Len()}
	}
	return view.decide(call, best), nil
}

// PrefixHash chooses the first runner of the rendezvous order of the prompt's
// first blocks, whatever its load.
type PrefixHash struct {
	// KeyBlocks is the number of first blocks that make the key.
	KeyBlocks int
}

// Name implements Policy.
func (PrefixHash) Name() string { return "prefix hashing" }

// Choose implements Policy.
func (p PrefixHash) Choose(call *Call, view *View, _ time.Time) (Decision, error) {
	return view.rendezvous(call, p.KeyBlocks, math.Inf(1))
}

// BoundedHash chooses the first runner of the rendezvous order of the prompt's
// first blocks that has at most Bound times the mean calls in flight.
type BoundedHash struct {
	KeyBlocks int
	// Bound is the largest ratio of a runner's calls in flight to the mean.
	Bound float64
}

// Name implements Policy.
func (BoundedHash) Name() string { return "hashing with bounded loads" }

// Choose implements Policy.
func (b BoundedHash) Choose(call *Call, view *View, _ time.Time) (Decision, error) {
	var streams, runners float64
	for at := range view.slots {
		if view.usable(call, at) {
			streams += view.streams(at)
			runners++
		}
	}
	return view.rendezvous(call, b.KeyBlocks, math.Ceil(b.Bound*(streams+1)/runners))
}

// rendezvous chooses the first runner of the rendezvous order that has less
// than most calls in flight.
func (v *View) rendezvous(call *Call, keyBlocks int, most float64) (Decision, error) {
	v.match(call)
	key := v.rendezvousKey(call, keyBlocks)
	best := -1
	var highest uint64
	for at := range v.slots {
		if !v.usable(call, at) || v.streams(at) >= most {
			continue
		}
		if weight := mix(key ^ v.slots[at].hash); best < 0 || weight > highest {
			best, highest = at, weight
		}
	}
	if best < 0 {
		return Decision{}, &NoBackendError{Known: v.Len()}
	}
	return v.decide(call, best), nil
}

// usable reports whether the call may go to the runner of a slot.
func (v *View) usable(call *Call, at int) bool {
	runner := &v.slots[at].runner
	return runner.Name != "" && call.allows(runner)
}

// streams returns the known calls in flight at the runner of a slot.
func (v *View) streams(at int) float64 {
	return v.slots[at].own.streams + v.slots[at].peers.streams
}
