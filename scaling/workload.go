package scaling

import (
	"math"
	"time"
)

// workload derives from the requests that arrive what the requests in flight do not show: the demand that
// was refused, and longer work that has not been in flight for long.
type workload struct {
	options DemandOptions
	recent  recentDemand
	updated time.Time
	// usualWork and usualCount are decaying sums of the work in milliseconds and the number of requests, and
	// since is when they began.
	usualWork, usualCount float64
	since                 time.Time
	// variance is the moving average of the squared difference of the work of a request, in a period, from
	// the usual one, relative to that.
	variance float64
	last     Demand
	// served is the recent highest load that was carried.
	served float64
	extra  Extra
}

// Extra is what is added to the requests in flight.
type Extra struct {
	// Refused is the load that was refused for lack of capacity in each of the last seconds, in requests in
	// flight. It is bounded: the load and Refused are at most twice the load, or the highest load of the
	// last minute.
	Refused float64
	// WorkRatio is the ratio of the work of a request to the usual one if the work is longer than usual in
	// each of the last seconds, and otherwise 1.
	WorkRatio float64
	// Load is then the load by the work of the admitted requests, in requests in flight, or zero.
	Load float64
}

// minUsualTime is the time in which the usual work of a request is learned.
const minUsualTime = 15 * time.Second

// observe updates the figures with the counts of all daemons. load is the number of requests in flight, and
// duration the time that a request takes in calm times, in seconds, or zero.
func (w *workload) observe(demand Demand, load, duration float64, now time.Time) {
	elapsed := now.Sub(w.updated)
	w.served = max(w.served*(1-weight(elapsed, w.options.ServedTimeConstant)), load)
	w.recent.add(demand, now)
	periods, isKnown := w.recent.periods(now)
	w.extra = Extra{WorkRatio: 1}
	if isKnown {
		w.evaluate(periods, load, duration, now)
	}
	w.updateUsual(demand, elapsed, now)
	w.updated = now
}

// evaluate derives the figures from the last seconds.
func (w *workload) evaluate(periods [recentPeriods]periodDemand, load, duration float64, now time.Time) {
	byWork := hasWork(periods)
	if ratio := w.workRatio(periods, now); byWork && ratio > 1 {
		admitted := lowest(periods, periodDemand.admittedWork)
		w.extra.WorkRatio, w.extra.Load = ratio, min(admitted, maxDemandRatio*load)
	}
	refused := lowest(periods, func(p periodDemand) float64 { return p.refusedRate(byWork) })
	if !byWork {
		refused *= duration
	}
	carried := max(load, w.extra.Load)
	w.extra.Refused = min(refused, max((maxDemandRatio-1)*carried, w.served-carried))
}

// maxDemandRatio bounds the demand by what is carried. Callers that come back at once after a refusal may be
// counted several times, but never for more than that.
const maxDemandRatio = 2

const (
	// minWorkRatio is the ratio to the usual work from which on work counts as longer.
	minWorkRatio = 1.25
	// workDeviations is the number of standard deviations that is not due to chance if each of the last
	// periods exceeds it.
	workDeviations = 2
	// minPeriodRequests is the number of requests in a period below which the mean of their work is mostly
	// chance.
	minPeriodRequests = 10
)

// workRatio returns the lowest ratio of the work of a request to the usual one, or 1 if it may be usual.
func (w *workload) workRatio(periods [recentPeriods]periodDemand, now time.Time) float64 {
	if w.usualCount <= 0 || w.usualWork <= 0 {
		return 1
	}
	usual := w.usualWork / w.usualCount
	ratioOf := func(p periodDemand) float64 { return float64(p.ArrivedWork) / max(float64(p.Known), 1) / usual }
	w.updateVariance(ratioOf(periods[0]), now)
	fewest := lowest(periods, func(p periodDemand) float64 { return float64(p.Known) })
	if fewest < minPeriodRequests || now.Sub(w.since) < minUsualTime {
		return 1
	}
	deviation := max(math.Sqrt(w.variance), 1/math.Sqrt(fewest)/workDeviations)
	ratio := lowest(periods, ratioOf)
	if ratio < 1+max(minWorkRatio-1, workDeviations*deviation) {
		return 1
	}
	return ratio
}

// updateVariance updates the variance of the ratio with that of the newest period.
func (w *workload) updateVariance(ratio float64, now time.Time) {
	difference := ratio - 1
	w.variance += weight(now.Sub(w.updated), w.options.UsualTimeConstant) * (difference*difference - w.variance)
}

// updateUsual updates the usual work of a request.
func (w *workload) updateUsual(demand Demand, elapsed time.Duration, now time.Time) {
	grown, isGrowth := demand.since(w.last)
	isFirst := w.last == Demand{}
	w.last = demand
	if isFirst || !isGrowth || grown.Known == 0 {
		return
	}
	if w.since.IsZero() {
		w.since = now
	}
	keep := 1 - weight(elapsed, w.options.UsualTimeConstant)
	w.usualWork = w.usualWork*keep + float64(grown.ArrivedWork)
	w.usualCount = w.usualCount*keep + float64(grown.Known)
}
