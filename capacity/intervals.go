package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// intervalTime is the length of an interval. A disturbance of that length falls into two intervals at most,
	// which do not move the median of keptIntervals.
	intervalTime  = 600 * time.Millisecond
	keptIntervals = 6
	// maxIntervalWeight bounds the weight of one interval in the median.
	maxIntervalWeight = 6
	// intervalLifetime is how long an interval counts.
	intervalLifetime = 15 * time.Second
	// maxIntervalDistance is the distance from the median up to which an interval counts.
	maxIntervalDistance = 0.3
)

// interval holds the residuals of a time.
type interval struct {
	// number counts the intervals since the learner began.
	number int64
	// weight is zero if the interval is empty.
	weight, sum float64
}

// intervals holds the newest intervals with residuals, in any order.
type intervals [keptIntervals]interval

// add adds residuals to an interval, in place of the oldest one if it is new.
func (s *intervals) add(number int64, sum, weight float64) {
	oldest := &s[0]
	for i := range s {
		if s[i].weight > 0 && s[i].number == number {
			s[i].sum += sum
			s[i].weight += weight
			return
		}
		if oldest.weight > 0 && (s[i].weight == 0 || s[i].number < oldest.number) {
			oldest = &s[i]
		}
	}
	if oldest.weight == 0 || oldest.number < number {
		*oldest = interval{number: number, weight: weight, sum: sum}
	}
}

// center returns the mean of the intervals near their median, and the weight of all.
func (s *intervals) center(now int64) (center, total float64) {
	kept, count := *s, 0
	for _, one := range s {
		if one.weight > 0 && time.Duration(now-one.number)*intervalTime <= intervalLifetime {
			kept[count] = interval{weight: min(one.weight, maxIntervalWeight), sum: one.sum / one.weight}
			total += kept[count].weight
			count++
		}
	}
	near, sum, middle := 0.0, 0.0, median(kept[:count], total)
	for _, one := range kept[:count] {
		if math.Abs(one.sum-middle) <= maxIntervalDistance {
			near += one.weight
			sum += one.weight * one.sum
		}
	}
	if near == 0 {
		return 0, 0
	}
	return sum / near, total
}

// median returns the weighted median of the intervals' means, which stand in place of their sums.
func median(means []interval, total float64) float64 {
	slices.SortFunc(means, func(x, y interval) int { return cmp.Compare(x.sum, y.sum) })
	passed := 0.0
	for _, one := range means {
		if passed += one.weight; passed >= total/2 {
			return one.sum
		}
	}
	return 0
}
