package scaling

import (
	"math"
	"time"
)

// maxCapacityRatio bounds the effect of what is learned of runners on their number.
const maxCapacityRatio = 2

// ratio returns x/y within the bounds, or 1 if one of them is not known.
func ratio(x, y float64) float64 {
	if x <= 0 || y <= 0 {
		return 1
	}
	return min(max(x/y, 1.0/maxCapacityRatio), maxCapacityRatio)
}

// perTypical returns the number of ready runners that run as many requests at once as a typical one.
func (s Sample) perTypical() float64 { return ratio(float64(s.Ready), s.Concurrency) }

// speed returns the mean speed of the ready runners. The requests in flight reflect it already, since
// they stay for longer at slow runners, but the rate of requests does not.
func (s Sample) speed() float64 { return ratio(s.Capacity, s.Concurrency) }

// settledDifference is the difference below which an average has reached its value.
const settledDifference = 0.01

// updatePerTypical takes a value into the average.
func (t *DemandTracker) updatePerTypical(value float64, elapsed time.Duration) {
	t.perTypical += weight(elapsed, t.options.TimeConstant) * (value - t.perTypical)
	if math.Abs(value-t.perTypical) < settledDifference {
		t.perTypical = value
	}
}
