package capacity

import (
	"math"
	"time"
)

// Runner is what is learned of one incarnation of a runner.
type Runner struct {
	id        uint64
	name      string
	typical   *typical
	intervals intervals
	residual  curve
	pace      pace
	// middle is the center of the intervals, and raw the logarithm of the speed that follows from its
	// difference from that of the service. Both are zero while nothing is known.
	middle, raw float64
	samples     float64
	// long is the average over earlier intervals.
	long average
	// own are the residuals that this daemon has observed, for the reports.
	own [reportedIntervals + 1]ownInterval
	// isTypical is true while the speed counts as typical.
	isTypical bool
	estimate  Estimate
	// share is the weight of the runner in a choice, relative to its slots; exactly 1 if typical.
	share float64
	// reported is the estimate that was last passed to OnChange, and reportedAt when.
	reported   Estimate
	reportedAt time.Time
}

func newRunner(id uint64, name string, t *typical) *Runner {
	return &Runner{id: id, name: name, typical: t, isTypical: true, estimate: Typical(), share: 1, reported: Typical()}
}

// Estimate returns the estimate as of the last refresh.
func (r *Runner) Estimate() Estimate { return r.estimate }

// Share returns what the runner carries for each slot, relative to a typical runner of its service.
// It is exactly 1 if the runner is typical.
func (r *Runner) Share() float64 { return r.share }

// Concurrency returns the number of requests that the runner runs at once without slowing down, for
// each slot, relative to a typical runner of its service. It is exactly 1 if the runner is typical.
func (r *Runner) Concurrency() float64 { return r.estimate.Knee / r.typical.knee }

// Slowness returns the time that work takes at the runner's VM now, relative to the usual. It is
// exactly 1 within TypicalTolerance, and if the runner has not said so lately.
func (r *Runner) Slowness(now time.Time) float64 {
	slowness := r.pace.slowness(now)
	if math.Abs(slowness) <= typicalLog {
		return 1
	}
	return math.Exp(slowness)
}

// IsServiceEven reports whether the Share and the Slowness of all runners of the service are 1.
func (r *Runner) IsServiceEven(now time.Time) bool {
	t := r.typical
	return !t.isUneven && (t.pacedAt.IsZero() || now.Sub(t.pacedAt) >= paceLifetime)
}

const (
	// maxResidual bounds one residual.
	maxResidual = 2 * math.Ln2
	// priorWeight is the weight of the long average in the estimate. It is half if the intervals are off by
	// priorWidth, and soon none beyond: the speed has changed then.
	priorWeight, priorWidth = 20, 0.27
	// longWeight bounds the intervals that the long average remembers, changedWeight does so after a change
	// of speed, and curveWeight bounds the residuals that each bucket of a runner's curve remembers.
	longWeight, changedWeight, curveWeight = 25, 8, 60
	// fullWeight is the weight from which on a difference counts at TypicalTolerance. With less it
	// has to be larger.
	fullWeight = 14
)

// typicalLog is the logarithm of the difference within which a runner counts as typical, and returnLog
// that below which it does so again.
var typicalLog, returnLog = math.Log1p(TypicalTolerance), math.Log1p(0.1)

// add adds residuals in a load bucket.
func (r *Runner) add(number int64, bucket int, sum, weight float64) {
	if weight <= 0 {
		return
	}
	r.residual[bucket].add(sum/weight, weight, curveWeight)
	expected := 0.0
	if bucket < buckets-1 {
		expected = slowdown(r.estimate.Knee, bucket) - r.typical.shape[bucket]
	}
	r.intervals.add(number, sum-weight*expected, weight)
}

// read computes the center of the intervals.
func (r *Runner) read(number int64) {
	r.middle, r.samples = r.intervals.center(number)
}

// update computes the raw speed from the center of the intervals.
func (r *Runner) update() {
	if r.samples == 0 {
		r.raw, r.long = 0, average{}
		return
	}
	if r.long.weight == 0 {
		r.long = average{weight: 1}
	}
	difference := r.middle - r.typical.center
	off := r.off(difference)
	prior := priorWeight / (1 + off*off)
	r.raw = -(r.samples*difference + prior*r.long.mean) / (r.samples + prior)
}

// off returns the square of a difference's distance from the long average, in units of priorWidth.
func (r *Runner) off(difference float64) float64 {
	distance := (difference - r.long.mean) / priorWidth
	return distance * distance
}

// endInterval takes the intervals into the long average.
func (r *Runner) endInterval() {
	r.residual.forget(curveFading)
	if r.samples == 0 || r.long.weight == 0 {
		return
	}
	difference, limit := r.middle-r.typical.center, float64(longWeight)
	if r.off(difference) > 1 {
		limit = changedWeight
	}
	r.long.add(difference, 1, limit)
}

// setEstimate sets the estimate by the raw speed. If it needs a stated pace, runners of services
// without one stay typical.
func (r *Runner) setEstimate(needsPace bool) {
	if needsPace && r.typical.pacedAt.IsZero() {
		return
	}
	needed := typicalLog * max(fullWeight/max(r.samples, 1), 1)
	if !r.isTypical {
		needed = returnLog
	}
	r.isTypical = math.Abs(r.raw) <= needed
	r.estimate = Estimate{Speed: 1, Knee: r.knee(), Samples: r.samples}
	if !r.isTypical {
		r.estimate.Speed = min(max(math.Exp(r.raw), MinSpeed), MaxSpeed)
	}
	r.share = 1
	if !r.isTypical || r.estimate.Knee != r.typical.knee {
		r.share = min(max(r.estimate.Speed*r.estimate.Knee/r.typical.knee, MinSpeed), MaxSpeed)
	}
}

// knee returns the knee of the runner: that of the typical one, unless the runner's residuals show
// another one.
func (r *Runner) knee() float64 {
	var own curve
	for i := range own {
		own[i] = average{weight: r.residual[i].weight, mean: r.residual[i].mean + r.typical.shape[i]}
	}
	if _, known := own.fitError(1); known < 2 {
		return r.typical.knee
	}
	return own.knee()
}
