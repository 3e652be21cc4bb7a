package measure

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/route"
)

const (
	// heldShare is the share of calls that have to be within both targets.
	heldShare = 0.95
	// bisections halve the range of loads in which the capacity is sought.
	bisections = 7
	lowestLoad = 0.2
	topLoad    = 1.2
	// capacityWindow is the time that is measured at each load.
	capacityWindow = 60 * time.Second
	// drainTime is the time that the last calls of a window get to end.
	drainTime = 30 * time.Second
)

// steady returns a rate that does not change.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// run returns the outcome of a run at a share of the capacity.
func run(t Tenant, sc Scenario, policy route.Policy, seed uint64, load float64, length time.Duration) outcome {
	rate := load * t.capacity(len(t.runners()))
	s := newSimulation(t, sc, policy, seed, steady(rate))
	s.run(warmUp + length + drainTime)
	return s.sum(warmUp, warmUp+length)
}

// capacityOf returns the highest load in calls a second at which heldShare of
// the calls are within both targets in calm.
func capacityOf(t Tenant, policy route.Policy, seed uint64) float64 {
	low, high := lowestLoad, topLoad
	for range bisections {
		load := (low + high) / 2
		if run(t, Scenario{}, policy, seed, load, capacityWindow).onTime >= heldShare {
			low = load
		} else {
			high = load
		}
	}
	return low * t.capacity(len(t.runners()))
}
