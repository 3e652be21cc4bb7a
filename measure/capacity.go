package measure

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/route"
)

const (
	// requiredOnTime is the share of calls that have to be within both latency
	// targets.
	requiredOnTime = 0.95
	// bisections is the number of steps of the binary search for the capacity
	// between lowestLoad and highestLoad.
	bisections  = 7
	lowestLoad  = 0.2
	highestLoad = 1.2
	// capacityWindow is the measured time at each load.
	capacityWindow = 60 * time.Second
	// drainTime is the time after a window in which its last calls can finish.
	drainTime = 30 * time.Second
)

// constantRate returns a rate function with a constant value.
func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// runScenario runs a scenario at a load that is given as a share of the ideal
// capacity.
func runScenario(t Tenant, sc Scenario, policy route.Policy, seed uint64, load float64, window time.Duration) outcome {
	rate := load * t.idealCapacity(len(t.runners()))
	s := newSimulation(t, sc, policy, seed, constantRate(rate))
	s.run(warmUp + window + drainTime)
	return s.summarize(warmUp, warmUp+window)
}

// measureCapacity returns the highest rate in calls per second at which, without
// faults, a share of requiredOnTime of the calls is within both latency targets.
func measureCapacity(t Tenant, policy route.Policy, seed uint64) float64 {
	low, high := lowestLoad, highestLoad
	for range bisections {
		load := (low + high) / 2
		if runScenario(t, Scenario{}, policy, seed, load, capacityWindow).onTime >= requiredOnTime {
			low = load
		} else {
			high = load
		}
	}
	return low * t.idealCapacity(len(t.runners()))
}
