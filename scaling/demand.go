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
	options DemandOptions
	created time.Time
	updated time.Time
	// scaleDownWaitStart is the last time at which the target changed or the load
	// needed all its runners.
	scaleDownWaitStart time.Time
	lastRaised         time.Time
	mean               float64
	runners            int
}

// NewDemandTracker returns a DemandTracker without load history. runners is the
// current number of runners.
func NewDemandTracker(options DemandOptions, runners int, now time.Time) *DemandTracker {
	return &DemandTracker{options: options, created: now, updated: now, scaleDownWaitStart: now, runners: runners}
}

// Runners returns the target number of runners for the requests in flight. While
// fewer runners than the target are ready, requests queue up and their number
// does not reflect the load, so the target is not changed.
func (t *DemandTracker) Runners(requests, ready int, now time.Time) int {
	elapsed := now.Sub(t.updated)
	t.updated = now
	if ready < t.runners {
		return t.runners
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/t.options.TimeConstant.Seconds())
	t.mean += weight * (float64(requests) - t.mean)
	wanted := int(math.Ceil(t.mean / t.options.RequestsPerRunner))
	switch {
	case wanted > t.runners && now.Sub(t.lastRaised) >= t.options.ScaleUpInterval:
		t.runners, t.lastRaised, t.scaleDownWaitStart = t.runners+min(wanted-t.runners, t.step(scaleUpDivisor)), now, now
	case wanted >= t.runners:
		t.scaleDownWaitStart = now
	case now.Sub(t.created) >= t.options.TakeoverHold && now.Sub(t.scaleDownWaitStart) >= t.options.ScaleDownInterval:
		t.runners, t.scaleDownWaitStart = max(wanted, t.runners-t.step(scaleDownDivisor)), now
	}
	return t.runners
}

// The target changes in one step by at most itself divided by one of these.
const (
	scaleUpDivisor   = 5
	scaleDownDivisor = 16
)

// step returns the target divided by divisor, but at least 1.
func (t *DemandTracker) step(divisor int) int { return max(t.runners/divisor, 1) }
