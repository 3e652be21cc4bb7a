package capacity

import (
	"math"
	"time"
)

const (
	// reportedIntervals is the number of closed intervals in a report. Exchanges are at most as far apart.
	reportedIntervals = 3
	// maxIntervalResiduals bounds the residuals of one interval in a report.
	maxIntervalResiduals = 96
	// weightUnit and sumUnit are the units of the numbers in a report.
	weightUnit, sumUnit = 0.25, 0.01
	// maxReportedWeight bounds the weight of one entry of a report.
	maxReportedWeight = 60
)

// Report is what one daemon has observed in its last closed intervals. Its fields are part of the wire
// format of digests.
type Report struct {
	// Interval is the number of the newest closed interval at the sender, and Age the time since its end.
	Interval int64
	Age      time.Duration
	// Intervals holds the intervals with residuals, newest first.
	Intervals []IntervalReport
}

// IntervalReport holds the residuals of one interval.
type IntervalReport struct {
	// Back counts the intervals from the newest one.
	Back      uint8
	Residuals []Residual
}

// Residual is the sum of the residuals of a runner in a load bucket.
type Residual struct {
	// Runner is the hash of the runner's incarnation.
	Runner uint64
	Bucket uint8
	// Weight and Sum are in weightUnit and sumUnit.
	Weight uint8
	Sum    int16
}

// ownInterval holds the own residuals of an interval by load bucket.
type ownInterval struct {
	number int64
	sums   [buckets]struct{ weight, sum float32 }
}

// addOwn adds a residual that this daemon has observed.
func (r *Runner) addOwn(number int64, bucket int, residual, weight float64) {
	s := &r.own[number%int64(len(r.own))]
	if s.number != number {
		*s = ownInterval{number: number}
	}
	s.sums[bucket].weight += float32(weight)
	s.sums[bucket].sum += float32(weight * residual)
}

// ownResiduals appends the own residuals of an interval.
func (r *Runner) ownResiduals(residuals []Residual, number int64) []Residual {
	s := &r.own[number%int64(len(r.own))]
	if s.number != number {
		return residuals
	}
	for bucket, sum := range s.sums {
		weight := min(float64(sum.weight), maxReportedWeight)
		units := math.Round(weight / weightUnit)
		if units == 0 {
			continue
		}
		mean := float64(sum.sum / sum.weight)
		total := mean * units * weightUnit / sumUnit
		residuals = append(residuals, Residual{Runner: r.id, Bucket: uint8(bucket), Weight: uint8(units), Sum: int16(math.Round(total))})
	}
	return residuals
}

// values returns the bucket, the sum and the weight of an entry. A bad one has no weight.
func (r Residual) values() (bucket int, sum, weight float64) {
	weight = float64(r.Weight) * weightUnit
	sum = float64(r.Sum) * sumUnit
	if r.Bucket >= buckets || weight > maxReportedWeight {
		return 0, 0, 0
	}
	return int(r.Bucket), min(max(sum, -weight*maxResidual), weight*maxResidual), weight
}
