package scaling

import (
	"math"
	"time"
)

// DemandOptions configures how the target number of runners follows the load.
type DemandOptions struct {
	// RequestsPerRunner is the number of requests in flight that one runner
	// serves well.
	RequestsPerRunner float64
	// TakeoverHold is how long the target is not lowered after the duty was taken
	// over, since the earlier load is not known.
	TakeoverHold time.Duration
	// ScaleDownInterval is the shortest time between two decreases of the target.
	ScaleDownInterval time.Duration
	// ScaleUpInterval is the shortest time between two increases of the target, so
	// that the runners of the last increase are ready and counted before the next.
	ScaleUpInterval time.Duration
	// TimeConstant is the time constant of the exponential moving average of the load.
	TimeConstant time.Duration
}

// DefaultDemandOptions returns the defaults.
func DefaultDemandOptions() DemandOptions {
	return DemandOptions{
		RequestsPerRunner: 6, TakeoverHold: 15 * time.Second, ScaleDownInterval: time.Second, ScaleUpInterval: 5 * time.Second, TimeConstant: 4 * time.Second,
	}
}

// DemandTracker derives the target number of runners of one service from a moving
// average of its load. It is not safe for concurrent use.
type DemandTracker struct {
	options     DemandOptions
	created     time.Time
	updated     time.Time
	lastLowered time.Time
	lastRaised  time.Time
	mean        float64
	runners     int
}

// NewDemandTracker returns a Demand without load history. runners is the current number
// of runners.
func NewDemandTracker(options DemandOptions, runners int, now time.Time) *DemandTracker {
	return &DemandTracker{options: options, created: now, updated: now, lastLowered: now, runners: runners}
}

// Runners returns the target number of runners for the requests in flight. While
// fewer runners than the target are ready, requests queue up and their number
// says little about the load, so the target is not changed.
func (d *DemandTracker) Runners(requests, ready int, now time.Time) int {
	elapsed := now.Sub(d.updated)
	d.updated = now
	if ready < d.runners {
		return d.runners
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/d.options.TimeConstant.Seconds())
	d.mean += weight * (float64(requests) - d.mean)
	wanted := int(math.Ceil(d.mean / d.options.RequestsPerRunner))
	switch {
	case wanted > d.runners && now.Sub(d.lastRaised) >= d.options.ScaleUpInterval:
		d.runners, d.lastRaised, d.lastLowered = d.runners+min(wanted-d.runners, d.step(scaleUpDivisor)), now, now
	case wanted >= d.runners:
		d.lastLowered = now
	case now.Sub(d.created) >= d.options.TakeoverHold && now.Sub(d.lastLowered) >= d.options.ScaleDownInterval:
		d.runners, d.lastLowered = max(wanted, d.runners-d.step(scaleDownDivisor)), now
	}
	return d.runners
}

// The target changes in one step by at most itself divided by one of these.
const (
	scaleUpDivisor   = 5
	scaleDownDivisor = 16
)

// step returns the target divided by divisor, but at least 1.
func (d *DemandTracker) step(divisor int) int { return max(d.runners/divisor, 1) }
