package route

import (
	"math"
	"time"
)

// Score is the policy that minimizes the weighted cost of recomputed prompt tokens,
// price, expected wait, and load relative to the plan's latency targets. The unit of
// cost is a second of a runner's time.
//
// The cost of load has no step at the target. Otherwise, with all runners above the
// target, recomputation would no longer matter, and prompts sent away from their
// caches would make an overload worse.
type Score struct {
	// LoadCost is the cost of a runner whose time between tokens is at the
	// target; it grows with the sixth power of the load.
	LoadCost float64
	// WaitCost is the cost of each second of waiting before the prefill.
	WaitCost float64
	// Margin is the fraction of a latency target above which LateCost applies.
	Margin float64
	// LateCost is the cost of exceeding the margin by the whole target; smaller
	// excesses cost in proportion.
	LateCost float64
	// DistanceCost is the additional cost of a second of prefill at the runner
	// that is farthest from the daemon on the circle of runners. It sends long
	// prompts of different daemons to different runners, since a daemon does not
	// see its peers' queued prompts.
	DistanceCost float64
	// PriceSeconds is the cost of a price of 1 at a CostWeight of 1.
	PriceSeconds float64
	// FullPriceLoad is the mean load up to which the price counts in full, and
	// NoPriceLoad the mean load above which the price is ignored, so that work
	// moves to expensive runners only as far as the targets require.
	FullPriceLoad, NoPriceLoad float64
	// AffinitySlack is how far a runner's cost may exceed the lowest. Among these
	// runners the first in the prompt's rendezvous order is chosen, so that
	// different prompts spread over them, while daemons with the same prompt
	// choose the same one.
	AffinitySlack float64
	// KeyBlocks is the number of leading blocks that form the rendezvous key.
	KeyBlocks int
	// LowestLimit and HighestLimit are the loads above which a runner gets no
	// calls of the lowest and of the highest priority. The limits of the
	// priorities between them are evenly spaced. A call is refused if every
	// runner is above its limit.
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
		AffinitySlack: 0.015,
		KeyBlocks:     8,
		LowestLimit:   0.85,
		HighestLimit:  1.1,
	}
}

// NewServiceScore returns the policy for plain services. Their servers do not
// distinguish priorities, so more capacity is reserved for the higher ones. Their calls
// are so cheap that waiting for a cheaper server does not pay.
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
	view.addPriority(call.Priority)
	view.prepare(call)
	limit := s.loadLimit(call, view)
	lowest, load := s.computeCosts(call, view, limit)
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
	at := view.firstBelow(view.rendezvousKey(call, s.KeyBlocks), lowest+s.AffinitySlack)
	return view.decide(call, at), nil
}

// computeCosts fills the scratch space with the costs of the runners, which are
// infinite for those that are not allowed or above the load limit. It returns the
// lowest cost within the limit and the lowest load, each infinite if there is none.
func (s *Score) computeCosts(call *Call, view *View, limit float64) (cost, load float64) {
	cost, load = math.Inf(1), math.Inf(1)
	priceWeight := s.priceWeight(call, view)
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
		view.costs[at] += priceWeight * view.slots[at].runner.Price
		cost = min(cost, view.costs[at])
	}
	return cost, load
}

// firstBelow returns the first slot in the rendezvous order of key whose cost is at
// most maxCost.
func (v *View) firstBelow(key uint64, maxCost float64) int {
	first := -1
	var highest uint64
	for at := range v.slots {
		if v.costs[at] > maxCost {
			continue
		}
		if weight := splitMix64(key ^ v.slots[at].hash); first < 0 || weight > highest {
			first, highest = at, weight
		}
	}
	return first
}

// priceWeight returns the cost of a price of 1 for a call at the present mean load.
func (s *Score) priceWeight(call *Call, view *View) float64 {
	fraction := 1.0
	if call.BetweenTokens > 0 {
		load := view.meanStep / call.BetweenTokens.Seconds()
		fraction = (s.NoPriceLoad - load) / (s.NoPriceLoad - s.FullPriceLoad)
	}
	return call.CostWeight * s.PriceSeconds * min(1, max(0, fraction))
}

// cost returns the weighted cost of a call at a runner, without distance and price.
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

// loadLimit returns the load above which a runner gets no calls of this priority.
func (s *Score) loadLimit(call *Call, view *View) float64 {
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
