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
	// StartupHold is how long the target is not lowered after the start of the
	// process, since the earlier load is not known.
	StartupHold time.Duration
	// StabilizationWindow is how long the target is not lowered below the number
	// needed at any moment in that time: bursts return, and runners may be reclaimed
	// in one.
	StabilizationWindow time.Duration
	// ScaleDownInterval is the shortest time between two decreases of the target.
	ScaleDownInterval time.Duration
	// ScaleUpInterval is the shortest time between two increases of the target, so
	// that the runners of the last increase are ready and counted before the next.
	ScaleUpInterval time.Duration
	// TimeConstant is the time constant of the exponential moving averages of the
	// load and of the rate of requests.
	TimeConstant time.Duration
	// DurationTimeConstant is the time constant of the exponential moving average of
	// the duration of a request.
	DurationTimeConstant time.Duration
	// QueueingFactor times RequestsPerRunner is the number of requests in flight for
	// each ready runner above which requests are assumed to queue.
	QueueingFactor float64
	// ServedTimeConstant is that of the decay of the highest load that was carried, which bounds the refused
	// demand that counts.
	ServedTimeConstant time.Duration
	// UsualTimeConstant is that of the usual work of a request.
	UsualTimeConstant time.Duration
}

// DefaultDemandOptions returns the defaults.
func DefaultDemandOptions() DemandOptions {
	return DemandOptions{
		RequestsPerRunner: 6, StartupHold: 15 * time.Second, StabilizationWindow: 20 * time.Second,
		ScaleDownInterval: time.Second, ScaleUpInterval: 5 * time.Second,
		TimeConstant: 4 * time.Second, DurationTimeConstant: 10 * time.Second, QueueingFactor: 1.5,
		ServedTimeConstant: time.Minute, UsualTimeConstant: time.Minute,
	}
}

// Sample is the load of a service at one moment, over all daemons.
type Sample struct {
	// Requests counts the requests in flight.
	Requests int
	// Started counts the requests that have been started so far.
	Started uint64
	// Ready counts the runners that are ready.
	Ready int
	// Capacity is the number of typical runners that serve as many requests in a second as the ready
	// ones, and Concurrency the number of those that run as many at once without slowing down. Zero
	// stands for Ready.
	Capacity, Concurrency float64
	// Limits holds the limits of those of them that have named one, in requests a second.
	Limits []float64
	// Demand counts the requests that have arrived at all daemons and those that were refused. It is zero
	// while that is not known.
	Demand Demand
}

// DemandTracker derives the target number of runners of one service from its load, which
// is the number of requests in flight. While fewer runners than the target are ready,
// requests queue and their number does not reflect the load, which is then the rate of
// requests times their duration in calm times (Little's law). It is not safe for
// concurrent use.
type DemandTracker struct {
	options DemandOptions
	created time.Time
	updated time.Time
	// scaleDownWaitStart is the last time at which the target changed or the load
	// needed all its runners.
	scaleDownWaitStart time.Time
	lastRaised         time.Time
	// started is the count of the last sample, and counted is true after the first.
	started uint64
	counted bool
	// rate is a moving average of the requests started in a second.
	rate float64
	// duration is a moving average of the time that a request takes at a typical runner in calm
	// times, in seconds; zero while unknown.
	duration float64
	mean     float64
	// workload tells what the requests in flight do not.
	workload workload
	// perTypical is a moving average of the number of runners that run as many requests at once as a
	// typical one.
	perTypical float64
	runners    int
	// recent holds the numbers needed within the stabilization window, oldest first, and
	// recentLosses those of the runners that limits took away.
	recent, recentLosses window
}

// NewDemandTracker returns a DemandTracker without load history. runners is the
// current number of runners.
func NewDemandTracker(options DemandOptions, runners int, now time.Time) *DemandTracker {
	return &DemandTracker{
		options: options, created: now, updated: now, scaleDownWaitStart: now, perTypical: 1, runners: runners,
		workload: workload{options: options, updated: now, extra: Extra{WorkRatio: 1}},
	}
}

// Runners returns the target number of runners.
func (t *DemandTracker) Runners() int { return t.runners }

// Observe updates the target with a sample.
func (t *DemandTracker) Observe(sample Sample, now time.Time) {
	elapsed := now.Sub(t.updated)
	if elapsed <= 0 {
		return
	}
	t.updated = now
	t.updateRate(sample.Started, elapsed)
	t.recentLosses.add(t.lost(sample.Limits), now, t.options.StabilizationWindow)
	load, known := t.load(sample, elapsed)
	if !known {
		return
	}
	t.mean += weight(elapsed, t.options.TimeConstant) * (load - t.mean)
	t.updatePerTypical(sample.perTypical(), elapsed)
	t.workload.observe(sample.Demand, t.mean, t.duration, now)
	t.adjust(int(math.Ceil(t.demand()/t.options.RequestsPerRunner*t.perTypical)), now)
}

// demand returns the load that runners are needed for, in requests in flight.
func (t *DemandTracker) demand() float64 {
	return max(t.mean, t.workload.extra.Load) + t.workload.extra.Refused
}

// Extra returns what counts beside the requests in flight.
func (t *DemandTracker) Extra() Extra { return t.workload.extra }

// weight returns the weight of a new value in an exponential moving average.
func weight(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

// updateRate updates the rate of requests. The count falls when a daemon restarts or is
// no longer heard; that sample is left out.
func (t *DemandTracker) updateRate(started uint64, elapsed time.Duration) {
	previous, counted := t.started, t.counted
	t.started, t.counted = started, true
	if !counted || started < previous {
		return
	}
	rate := float64(started-previous) / elapsed.Seconds()
	if t.rate == 0 {
		t.rate = rate
	}
	t.rate += weight(elapsed, t.options.TimeConstant) * (rate - t.rate)
}

// load returns the number of requests in flight as far as it reflects the load, or false
// while runners are missing and the duration of requests is not known.
func (t *DemandTracker) load(sample Sample, elapsed time.Duration) (float64, bool) {
	if sample.Ready < t.runners {
		return t.rate * t.duration / sample.speed(), t.duration > 0
	}
	requests := float64(sample.Requests)
	isCalm := requests <= t.options.QueueingFactor*t.options.RequestsPerRunner*float64(sample.Ready)/sample.perTypical()
	if isCalm && t.rate > 0 {
		t.updateDuration(requests/t.rate*sample.speed(), elapsed)
	}
	return requests, true
}

func (t *DemandTracker) updateDuration(duration float64, elapsed time.Duration) {
	if t.duration == 0 {
		t.duration = duration
	}
	t.duration += weight(elapsed, t.options.DurationTimeConstant) * (duration - t.duration)
}

// adjust moves the target towards the wanted number.
func (t *DemandTracker) adjust(wanted int, now time.Time) {
	t.recent.add(wanted, now, t.options.StabilizationWindow)
	switch {
	case wanted > t.runners && now.Sub(t.lastRaised) >= t.options.ScaleUpInterval:
		t.runners, t.lastRaised, t.scaleDownWaitStart = t.runners+min(wanted-t.runners, t.step(scaleUpDivisor)), now, now
	case wanted >= t.runners:
		t.scaleDownWaitStart = now
	case now.Sub(t.created) >= t.options.StartupHold && now.Sub(t.scaleDownWaitStart) >= t.options.ScaleDownInterval:
		lowest := min(t.recent.peak(), t.runners)
		t.runners, t.scaleDownWaitStart = max(lowest, t.runners-t.step(scaleDownDivisor)), now
	}
}

// lost returns how many runners the limits take away: one that may get only a part of the
// requests that it could serve counts for that part.
func (t *DemandTracker) lost(limits []float64) int {
	lost := 0.0
	for _, perSecond := range limits {
		if t.duration > 0 {
			lost += max(1-perSecond*t.duration/t.options.RequestsPerRunner, 0)
		}
	}
	return int(math.Round(lost))
}

// Lost returns the number of runners that limits took away within the stabilization window.
// Their replacements stay until it is over, since limits come and go.
func (t *DemandTracker) Lost() int { return t.recentLosses.peak() }

// The target changes in one step by at most itself divided by one of these.
const (
	scaleUpDivisor   = 2
	scaleDownDivisor = 16
)

// step returns the target divided by divisor, but at least 1.
func (t *DemandTracker) step(divisor int) int { return max(t.runners/divisor, 1) }
