package scaling

import (
	"math"
	"time"
)

// DemandOptions sets how the number of runners follows the load.
type DemandOptions struct {
	// RequestsPerRunner is the number of requests under way that one runner
	// serves well.
	RequestsPerRunner float64
	// Hold is how long the number does not fall after the duty was taken over,
	// since the load before is not known.
	Hold time.Duration
	// FallEvery is the time after which the number may fall by a step.
	FallEvery time.Duration
	// RiseEvery is the time after which the number may rise again, so that the
	// runners of the last step count first.
	RiseEvery time.Duration
	// Memory is the time constant of the load's mean.
	Memory time.Duration
}

// DefaultDemandOptions returns the defaults.
func DefaultDemandOptions() DemandOptions {
	return DemandOptions{
		RequestsPerRunner: 6, Hold: 15 * time.Second, FallEvery: time.Second, RiseEvery: 5 * time.Second, Memory: 4 * time.Second,
	}
}

// Demand follows the load of one service. It is not safe for use by several
// goroutines.
type Demand struct {
	options DemandOptions
	began   time.Time
	updated time.Time
	fell    time.Time
	rose    time.Time
	mean    float64
	runners int
}

// NewDemand returns a demand that knows no load. runners is the number that is
// there.
func NewDemand(options DemandOptions, runners int, now time.Time) *Demand {
	return &Demand{options: options, began: now, updated: now, fell: now, runners: runners}
}

// Runners returns the number of runners for the requests under way. While fewer
// are ready than that number, more requests are under way since they wait, and
// the number stays.
func (d *Demand) Runners(requests, ready int, now time.Time) int {
	passed := now.Sub(d.updated)
	d.updated = now
	if ready < d.runners {
		return d.runners
	}
	weight := 1 - math.Exp(-passed.Seconds()/d.options.Memory.Seconds())
	d.mean += weight * (float64(requests) - d.mean)
	wanted := int(math.Ceil(d.mean / d.options.RequestsPerRunner))
	switch {
	case wanted > d.runners && now.Sub(d.rose) >= d.options.RiseEvery:
		d.runners, d.rose, d.fell = d.runners+min(wanted-d.runners, d.step(riseShare)), now, now
	case wanted >= d.runners:
		d.fell = now
	case now.Sub(d.began) >= d.options.Hold && now.Sub(d.fell) >= d.options.FallEvery:
		d.runners, d.fell = max(wanted, d.runners-d.step(fallShare)), now
	}
	return d.runners
}

// The parts of the runners, as divisors, by which the number changes at once.
const (
	riseShare = 5
	fallShare = 16
)

// step is a part of the runners, and one at least.
func (d *Demand) step(share int) int { return max(d.runners/share, 1) }
