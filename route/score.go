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
	// PriceSeconds is the work that the price of a runner is charged for.
	PriceSeconds float64
	// AffinityCost is the cost above the lowest one that is accepted to send
	// a prompt to the first such runner of its rendezvous order. Daemons
	// with different prompts spread over these runners, and daemons with the
	// same prompt meet at one.
	AffinityCost float64
	// KeyBlocks is the number of first blocks that make the rendezvous key.
	KeyBlocks int
	// LowestLimit and HighestLimit are the loads above which calls of the
	// lowest and of the highest priority are refused. Priorities between
	// them are spread evenly.
	LowestLimit, HighestLimit float64
}

// NewScore returns the policy with its default settings.
func NewScore() *Score {
	return &Score{
		LoadCost:     0.1,
		WaitCost:     1,
		Margin:       0.95,
		LateCost:     2,
		PriceSeconds: 0.005,
		AffinityCost: 0.03,
		KeyBlocks:    8,
		LowestLimit:  0.95,
		HighestLimit: 1.5,
	}
}

// Name implements Policy.
func (s *Score) Name() string { return "score" }

// Choose implements Policy.
func (s *Score) Choose(call *Call, view *View, now time.Time) (Decision, error) {
	view.decay(now)
	view.notePriority(call.Priority)
	view.match(call)
	at := s.best(call, view)
	if at < 0 {
		return Decision{}, &NoBackendError{Known: view.Len()}
	}
	decision := view.decide(call, at)
	if limit := s.limit(call, view); decision.Load > limit {
		return Decision{}, &OverloadError{
			Priority:   call.Priority,
			Load:       decision.Load,
			RetryAfter: view.retryAfter(decision.Load / limit),
		}
	}
	return decision, nil
}

// best returns the slot of the call's runner, or -1 when none is allowed.
func (s *Score) best(call *Call, view *View) int {
	lowest := math.Inf(1)
	for at := range view.slots {
		view.costs[at] = math.Inf(1)
		if !view.usable(call, at) {
			continue
		}
		estimate := view.estimate(call, at)
		view.costs[at] = s.cost(call, &view.slots[at].runner, &estimate, &view.options.Speed)
		lowest = min(lowest, view.costs[at])
	}
	if math.IsInf(lowest, 1) {
		return -1
	}
	return view.firstBelow(rendezvousKey(call, s.KeyBlocks), lowest+s.AffinityCost)
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

// cost returns the weighted cost of a call at a runner.
func (s *Score) cost(call *Call, runner *Runner, e *estimate, speed *Speed) float64 {
	prefill := speed.prefillSeconds(float64(e.uncached))
	square := e.betweenLoad * e.betweenLoad
	cost := prefill * (1 + call.RecomputeWeight)
	cost += call.CostWeight * runner.Price * s.PriceSeconds
	cost += s.LoadCost * square * square * square
	cost += s.WaitCost * (e.firstToken - prefill)
	cost += s.LateCost * max(0, e.firstLoad-s.Margin)
	cost += s.LateCost * max(0, e.betweenLoad-s.Margin)
	return cost
}

// limit returns the load above which the call is refused.
func (s *Score) limit(call *Call, view *View) float64 {
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

// The bounds of the time after which a refused caller is asked to come back.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// retryAfter returns the time in which the measured rate of ended calls
// drains the streams above the limit. excess is the ratio of load to limit.
func (v *View) retryAfter(excess float64) time.Duration {
	var own float64
	for i := range v.slots {
		own += v.slots[i].own.streams
	}
	if v.drained <= 0 {
		return minRetryAfter
	}
	seconds := own * (1 - 1/excess) / v.drained
	wait := time.Duration(seconds * float64(time.Second)).Round(time.Second)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
