package route

import (
	"math"
	"time"
)

// Score is the policy that chooses the lowest weighted cost of recomputed
// prompt tokens, price, expected wait and load, where the load includes the
// plan's latency target. Its unit of cost is a second of a runner's time.
//
// The cost of load has no step at the target: if all runners are above it,
// recomputing still costs what it did, so that an overload does not grow by
// prompts that are sent away from their caches.
type Score struct {
	// LoadCost is the cost of a runner whose time between tokens is at its
	// target; it grows with the sixth power of the load.
	LoadCost float64
	// WaitCost is the cost of each second of waiting before the prefill.
	WaitCost float64
	// Margin is the share of the targets above which LateCost counts.
	Margin float64
	// LateCost is the cost of a time of a whole target above the margin.
	LateCost float64
	// DistanceCost is the cost of a second of prefill at the runner that is
	// farthest from the daemon's own part of the runners. It keeps long
	// prompts of different daemons apart, which do not see each other's.
	DistanceCost float64
	// PriceSeconds is the work that the price of a runner is charged for.
	PriceSeconds float64
	// FullPriceLoad and NoPriceLoad are the mean loads of the runners up to
	// which the price counts in full and above which it does not count, so
	// that work moves to expensive runners as far as the targets need it.
	FullPriceLoad, NoPriceLoad float64
	// AffinityCost is the cost above the lowest one that is accepted to send
	// a prompt to the first such runner of its rendezvous order. Daemons
	// with different prompts spread over these runners, and daemons with the
	// same prompt meet at one.
	AffinityCost float64
	// KeyBlocks is the number of first blocks that make the rendezvous key.
	KeyBlocks int
	// LowestLimit and HighestLimit are the loads above which a runner gets
	// no calls of the lowest and of the highest priority; a call for which
	// every runner is above its limit is refused. Priorities between them
	// are spread evenly.
	LowestLimit, HighestLimit float64
}

// NewScore returns the policy with its default settings.
func NewScore() *Score {
	return &Score{
		LoadCost:      0.1,
		WaitCost:      1,
		Margin:        0.95,
		LateCost:      2,
		DistanceCost:  1.2,
		PriceSeconds:  0.03,
		FullPriceLoad: 0.55,
		NoPriceLoad:   0.65,
		AffinityCost:  0.015,
		KeyBlocks:     8,
		LowestLimit:   0.85,
		HighestLimit:  1.1,
	}
}

// NewServiceScore returns the policy for plain services. They do not know
// priorities, so more room is kept for the higher ones. Their calls cost too
// little to wait for a cheap server.
func NewServiceScore() *Score {
	s := NewScore()
	s.LowestLimit = 0.6
	s.PriceSeconds = 0
	return s
}

// Name implements Policy.
func (s *Score) Name() string { return "score" }

// Choose implements Policy.
func (s *Score) Choose(call *Call, view *View, now time.Time) (Decision, error) {
	view.decay(now)
	view.notePriority(call.Priority)
	view.match(call)
	limit := s.limit(call, view)
	lowest, load := s.weigh(call, view, limit)
	switch {
	case math.IsInf(load, 1):
		return Decision{}, &NoBackendError{Known: view.Len()}
	case math.IsInf(lowest, 1):
		return Decision{}, &OverloadError{
			Priority:   call.Priority,
			Load:       load,
			RetryAfter: view.retryAfter(load/limit, now),
		}
	}
	at := view.firstBelow(view.rendezvousKey(call, s.KeyBlocks), lowest+s.AffinityCost)
	return view.decide(call, at), nil
}

// weigh fills the scratch space with the costs of the runners, infinite for
// those that are not allowed or above the limit. It returns the lowest cost
// and the lowest load, infinite when there is none.
func (s *Score) weigh(call *Call, view *View, limit float64) (cost, load float64) {
	cost, load = math.Inf(1), math.Inf(1)
	priceSeconds := s.priceSeconds(call, view)
	for at := range view.slots {
		view.costs[at] = math.Inf(1)
		if !view.usable(call, at) {
			continue
		}
		estimate := view.estimate(call, at)
		load = min(load, estimate.load())
		if estimate.load() > limit {
			continue
		}
		view.costs[at] = s.cost(call, &estimate, &view.options.Speed)
		view.costs[at] += s.DistanceCost * view.slots[at].distance *
			view.options.Speed.prefillSeconds(float64(estimate.uncached))
		view.costs[at] += priceSeconds * view.slots[at].runner.Price
		cost = min(cost, view.costs[at])
	}
	return cost, load
}

// firstBelow returns the first slot in the rendezvous order of key whose cost
// is at most most.
func (v *View) firstBelow(key uint64, most float64) int {
	first := -1
	var highest uint64
	for at := range v.slots {
		if v.costs[at] > most {
			continue
		}
		if weight := mix(key ^ v.slots[at].hash); first < 0 || weight > highest {
			first, highest = at, weight
		}
	}
	return first
}

// priceSeconds returns the cost of a price of 1.
func (s *Score) priceSeconds(call *Call, view *View) float64 {
	counted := 1.0
	if call.BetweenTokens > 0 {
		load := view.meanStep / call.BetweenTokens.Seconds()
		counted = (s.NoPriceLoad - load) / (s.NoPriceLoad - s.FullPriceLoad)
	}
	return call.CostWeight * s.PriceSeconds * min(1, max(0, counted))
}

// cost returns the weighted cost of a call at a runner, without its price.
func (s *Score) cost(call *Call, e *estimate, speed *Speed) float64 {
	prefill := speed.prefillSeconds(float64(e.uncached))
	square := e.betweenLoad * e.betweenLoad
	cost := prefill * (1 + call.RecomputeWeight)
	cost += s.LoadCost * square * square * square
	cost += s.WaitCost * (e.firstToken - prefill)
	cost += s.LateCost * max(0, e.firstLoad-s.Margin)
	cost += s.LateCost * max(0, e.betweenLoad-s.Margin)
	return cost
}

// limit returns the load above which the call is refused.
func (s *Score) limit(call *Call, view *View) float64 {
	if call.Resumed {
		return math.MaxFloat64
	}
	if len(view.priorities) < 2 {
		return s.HighestLimit
	}
	rank := 0
	for view.priorities[rank] < call.Priority {
		rank++
	}
	share := float64(rank) / float64(len(view.priorities)-1)
	return s.LowestLimit + share*(s.HighestLimit-s.LowestLimit)
}
