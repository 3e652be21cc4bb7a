package capacity

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/call"
)

// Options configures a Learner.
type Options struct {
	// OnChange is called when the estimate of a runner has changed, a bounded number of times a
	// second; it may be nil.
	OnChange func(Change)
	// OnlyWithPace leaves the runners of services typical of which none has stated the pace of its VM.
	OnlyWithPace bool
}

// Change is a change of an estimate.
type Change struct {
	// Runner is the name that the runner was given.
	Runner        string
	Before, After Estimate
}

// Learner learns what the runners of all services carry. It is not safe for concurrent use.
type Learner struct {
	options  Options
	begun    time.Time
	typicals map[string]*typical
	runners  map[uint64]*Runner
	// ordered holds the runners in a fixed order.
	ordered []*Runner
	// heard holds the newest interval that was applied of each process of another daemon.
	heard     map[string]heardInterval
	number    int64
	refreshed time.Time
	// middles is reused.
	middles []float64
}

type heardInterval struct {
	number int64
	at     time.Time
}

// NewLearner returns a learner without runners.
func NewLearner(options Options) *Learner {
	return &Learner{options: options, typicals: make(map[string]*typical), runners: make(map[uint64]*Runner), heard: make(map[string]heardInterval)}
}

// Runner returns what is learned of an incarnation of a runner, which is nothing if it is new.
func (l *Learner) Runner(service, name string, incarnation uint64) *Runner {
	if r := l.runners[incarnation]; r != nil {
		return r
	}
	t := l.typicals[service]
	if t == nil {
		t = newTypical()
		l.typicals[service] = t
	}
	r := newRunner(incarnation, name, t)
	r.estimate.Knee = t.knee
	l.runners[incarnation] = r
	l.ordered = append(l.ordered, r)
	return r
}

// Retain forgets all runners but those that keep returns true for, and the services without any.
func (l *Learner) Retain(keep func(incarnation uint64) bool) {
	maps.DeleteFunc(l.runners, func(id uint64, _ *Runner) bool { return !keep(id) })
	l.ordered = slices.SortedFunc(maps.Values(l.runners), func(x, y *Runner) int {
		return cmp.Or(cmp.Compare(x.name, y.name), cmp.Compare(x.id, y.id))
	})
	used := make(map[*typical]bool)
	for _, r := range l.ordered {
		used[r.typical] = true
	}
	maps.DeleteFunc(l.typicals, func(_ string, t *typical) bool { return !used[t] })
}

// intervalAt returns the number of the interval of a time.
func (l *Learner) intervalAt(at time.Time) int64 {
	if l.begun.IsZero() {
		l.begun = at
	}
	return int64(max(at.Sub(l.begun), 0) / intervalTime)
}

// ObservePace records what a runner says of its load. An invalid load has no effect.
func (l *Learner) ObservePace(r *Runner, load call.Load, now time.Time) {
	if isValidLoad(load) && load.Pace > 0 {
		r.pace.observe(load.Pace, now)
		r.typical.pacedAt = now
	}
}

// Observe adds a sample of a runner. An invalid one has no effect.
func (l *Learner) Observe(r *Runner, sample Sample, now time.Time) {
	if !sample.isValid() {
		return
	}
	number, bucket := l.intervalAt(now), bucketOf(sample.Load)
	value := logTime(sample)
	if sample.Time < paceLifetime {
		value -= r.pace.slowness(now)
	}
	residual, weight := r.typical.residual(sample, value, r.raw)
	r.add(number, bucket, residual*weight, weight)
	r.addOwn(number, bucket, residual, weight)
}

// Report returns what this daemon has observed in its last closed intervals.
func (l *Learner) Report(now time.Time) Report {
	newest := l.intervalAt(now) - 1
	report := Report{Interval: newest, Age: now.Sub(l.begun) - time.Duration(newest+1)*intervalTime}
	for back := range int64(reportedIntervals) {
		if newest < back {
			break
		}
		if residuals := l.ownResiduals(newest - back); len(residuals) > 0 {
			report.Intervals = append(report.Intervals, IntervalReport{Back: uint8(back), Residuals: residuals})
		}
	}
	return report
}

// ownResiduals returns the own residuals of an interval. If they are too many, those of other runners are
// left out in each interval.
func (l *Learner) ownResiduals(number int64) []Residual {
	var residuals []Residual
	count := len(l.ordered)
	for i := range count {
		r := l.ordered[(int(number)*maxIntervalResiduals+i)%count]
		residuals = r.ownResiduals(residuals, number)
		if len(residuals) >= maxIntervalResiduals {
			return residuals[:maxIntervalResiduals]
		}
	}
	return residuals
}

const (
	// maxHeardAge is how long the last interval of another process is remembered.
	maxHeardAge = time.Minute
	// maxEarlyIntervals is the number of intervals by which a report may be ahead of the time since the
	// last one, since the times of reports are inexact.
	maxEarlyIntervals = int64(intervalLifetime / intervalTime)
)

// mayFollow reports whether the newest interval of a report of a time can be as it says.
func (h heardInterval) mayFollow(report Report, madeAt time.Time) bool {
	passed := int64(madeAt.Sub(h.at) / intervalTime)
	return report.Interval > h.number && report.Interval <= h.number+passed+maxEarlyIntervals
}

// Merge adds what a process of another daemon has observed, by its report of a time. Each interval
// counts once. A report with an impossible number or age has no effect.
func (l *Learner) Merge(process string, report Report, madeAt time.Time) {
	maps.DeleteFunc(l.heard, func(_ string, h heardInterval) bool { return madeAt.Sub(h.at) > maxHeardAge })
	heard, known := l.heard[process]
	if report.Age > intervalLifetime || known && !heard.mayFollow(report, madeAt) {
		return
	}
	for _, s := range report.Intervals {
		if known && report.Interval-int64(s.Back) <= heard.number || s.Back >= reportedIntervals {
			continue
		}
		l.mergeInterval(s, madeAt.Add(-max(report.Age, 0)))
	}
	l.heard[process] = heardInterval{number: report.Interval, at: madeAt}
}

// mergeInterval adds an interval of another process, by the time at which its newest one ended.
func (l *Learner) mergeInterval(s IntervalReport, newestEnd time.Time) {
	number := l.intervalAt(newestEnd.Add(-time.Duration(s.Back)*intervalTime - intervalTime/2))
	for _, residual := range s.Residuals[:min(len(s.Residuals), maxIntervalResiduals)] {
		if r := l.runners[residual.Runner]; r != nil {
			bucket, sum, weight := residual.values()
			r.add(number, bucket, sum, weight)
		}
	}
}
