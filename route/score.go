package route

import (
	"math"
	"time"
)

// Score is the policy that holds the plan's latency target as a constraint
// and under it chooses the lowest weighted cost of price, recomputed prompt
// tokens and load. Its unit of cost is a second of a runner's time.
type Score struct {
	// Margin is the share of the latency target above which a runner is
	// taken only when all others are above it too.
	Margin float64
	// LoadCost is the cost of a runner at the margin; it grows with the
	// square of the load.
	LoadCost float64
	// PriceSeconds is the work that the price of a runner is charged for.
	PriceSeconds float64
	// AffinityCost is the cost that is accepted to send a prompt to the
	// first runner of its rendezvous order, where the daemons meet.
	AffinityCost float64
	// KeyBlocks is the number of first blocks that make the rendezvous key.
	KeyBlocks int
	// Limits are the loads above which calls of the lowest and of the
	// highest priority are refused. Priorities between them are spread
	// evenly.
	LowestLimit, HighestLimit float64
}

// NewScore returns the policy with its default settings.
func NewScore() *Score {
	return &Score{
		Margin:       0.85,
		LoadCost:     0.05,
		PriceSeconds: 0.005,
		AffinityCost: 0.02,
		KeyBlocks:    8,
		LowestLimit:  0.95,
		HighestLimit: 1.5,
	}
}

// excessCost is the cost of a whole latency target above the margin. It
// exceeds every other cost.
const excessCost = 100

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

// best returns the slot of the lowest cost, or -1 when none is allowed.
func (s *Score) best(call *Call, view *View) int {
	key := rendezvousKey(call, s.KeyBlocks)
	best, first := -1, -1
	lowest, firstCost := math.Inf(1), math.Inf(1)
	var highest uint64
	for at := range view.slots {
		slot := &view.slots[at]
		if slot.runner.Name == "" || !call.allows(&slot.runner) {
			continue
		}
		estimate := view.estimate(call, at)
		cost := s.cost(call, &slot.runner, &estimate, &view.options.Speed)
		if cost < lowest {
			best, lowest = at, cost
		}
		if weight := mix(key ^ slot.hash); estimate.load <= s.Margin && weight > highest {
			first, firstCost, highest = at, cost, weight
		}
	}
	if first >= 0 && firstCost-lowest <= s.AffinityCost {
		return first
	}
	return best
}

// cost returns the weighted cost of a call at a runner.
func (s *Score) cost(call *Call, runner *Runner, e *estimate, speed *Speed) float64 {
	cost := speed.prefillSeconds(float64(e.uncached)) * (1 + call.RecomputeWeight)
	cost += call.CostWeight * runner.Price * s.PriceSeconds
	cost += s.LoadCost * (e.load / s.Margin) * (e.load / s.Margin)
	if e.load > s.Margin {
		cost += excessCost * (e.load - s.Margin)
	}
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
