package rollout

import (
	"slices"
	"time"
)

// Reports holds the newest report of each daemon process on one order. Reports of processes that
// have ended still count.
type Reports struct {
	processes map[string]processReport
	// sums is the sum of the newest reports of all processes.
	sums    counts
	history history
	// firstHeard is when the first digest came, and isSwitch is true after the trial.
	firstHeard time.Time
	isSwitch   bool
	// oldRunners counts the old runners that get requests, or is zero if that is not known.
	oldRunners int
	// isLoaded is true once the old runners have been loaded in the trial, and isCalm if they are known
	// not to be.
	isLoaded, isCalm bool
}

// processReport is what is known of a process. The report is empty if the process has sent
// digests without one.
type processReport struct {
	report    Report
	hasReport bool
	// madeAt is when the report was made, and lastHeard when the newest digest was.
	madeAt, lastHeard time.Time
	// quietSince is when the earliest report was made after which the process has started nothing
	// at old runners; zero before the switch and after a stop.
	quietSince time.Time
}

// quietTime is how long a process must have started nothing at old runners before Closing. The streams
// that may still start an attempt there count as in flight.
const quietTime = time.Second

// quietAfter returns the value of quietSince once a further report is applied.
func (p processReport) quietAfter(report Report, madeAt time.Time) time.Time {
	switch {
	case report.Phase < Switch || report.Stopped:
		return time.Time{}
	case p.quietSince.IsZero() || p.report.OldStarted != report.OldStarted:
		return madeAt
	default:
		return p.quietSince
	}
}

// isQuiet reports whether the process has started nothing at old runners for quietTime.
func (p processReport) isQuiet() bool {
	return !p.quietSince.IsZero() && p.madeAt.Sub(p.quietSince) >= quietTime
}

// isDrained reports whether the process is quiet and has nothing at old runners.
func (p processReport) isDrained() bool { return p.isQuiet() && p.report.OldInFlight == 0 }

// isClosed reports whether the process has nothing at old runners and sends nothing more there.
func (p processReport) isClosed() bool {
	return p.report.Closed && !p.report.Stopped && p.report.OldInFlight == 0
}

// NewReports returns Reports without any.
func NewReports() *Reports { return &Reports{processes: make(map[string]processReport)} }

// Hear records that a digest came that a process made at a time of this process's clock.
func (r *Reports) Hear(process string, madeAt time.Time) {
	if r.firstHeard.IsZero() {
		r.firstHeard = madeAt
	}
	known := r.processes[process]
	if madeAt.After(known.lastHeard) {
		known.lastHeard = madeAt
		r.processes[process] = known
	}
}

// Merge applies the report that a daemon process made at a time of this process's clock.
func (r *Reports) Merge(process string, report Report, madeAt time.Time) {
	r.Hear(process, madeAt)
	known := r.processes[process]
	if known.hasReport && !madeAt.After(known.madeAt) {
		return
	}
	r.sums.subtract(known.report.Routes)
	r.sums.add(report.Routes)
	known.quietSince = known.quietAfter(report, madeAt)
	known.report, known.hasReport, known.madeAt = report, true, madeAt
	r.processes[process] = known
}

// EnterSwitch records that the target gets all new requests from now on.
func (r *Reports) EnterSwitch(now time.Time) {
	r.isSwitch = true
	r.endTrial(now)
}

// minHearing is how long a process that starts after a trial needs to hear from all others.
const minHearing = 2 * time.Second

// endTrial keeps the counts of the trial once the reports of all processes have come. A process
// that started after the trial takes for them the first ones that it knows.
func (r *Reports) endTrial(now time.Time) {
	if r.isSwitch && r.history.switched == nil && !r.firstHeard.IsZero() && now.Sub(r.firstHeard) >= minHearing {
		r.history.switched = &mark{at: now, sums: r.sums.clone()}
	}
}

// Sums returns the sums over all processes for an order.
func (r *Reports) Sums(order Order, options Options, now time.Time) Sums {
	r.endTrial(now)
	r.observeLoad()
	r.history.add(&r.sums, now)
	sums := r.history.sums(&r.sums, options.LimitDelay, r.load().cycle(options.trialShare()), now)
	sums.sinceLate = now.Sub(order.OrderedAt.Add(order.part(options.MinTrialShare)))
	return sums
}

// LongestOld returns the longest time that a request has been in flight at an old runner.
func (r *Reports) LongestOld() time.Duration {
	longest := time.Duration(0)
	for _, known := range r.processes {
		longest = max(longest, known.report.LongestOld)
	}
	return longest
}

// Drained reports whether no process has a request at an old runner or has lately started one. Members
// are the processes of daemons that are known to run, and ended those that are known to have
// ended. Another process that has been silent for longer than silence, the longest timeout of
// the service's routes, counts as done.
func (r *Reports) Drained(members, ended []string, silence time.Duration, now time.Time) bool {
	return r.all(members, ended, silence, now, processReport.isDrained)
}

// Quiet reports whether no process has lately started a request at an old runner, with the same
// processes as Drained.
func (r *Reports) Quiet(members, ended []string, silence time.Duration, now time.Time) bool {
	return r.all(members, ended, silence, now, processReport.isQuiet)
}

// Closed reports whether no process has a request at an old runner or may start one, with the same
// processes as Drained.
func (r *Reports) Closed(members, ended []string, silence time.Duration, now time.Time) bool {
	return r.all(members, ended, silence, now, processReport.isClosed)
}

// Idle reports whether no process has a request at an old runner, with the same processes as
// Drained. It may start one.
func (r *Reports) Idle(members, ended []string, silence time.Duration, now time.Time) bool {
	return r.all(members, ended, silence, now, func(known processReport) bool { return known.report.OldInFlight == 0 })
}

// all reports whether a condition holds for the reports of all processes that count. It adds
// members that have not been heard as heard now, so that they are waited for.
func (r *Reports) all(members, ended []string, silence time.Duration, now time.Time, holds func(processReport) bool) bool {
	for _, member := range members {
		if _, found := r.processes[member]; !found {
			r.processes[member] = processReport{lastHeard: now}
		}
	}
	for process, known := range r.processes {
		isDone := known.hasReport && holds(known)
		if !isDone && now.Sub(known.lastHeard) <= silence && !slices.Contains(ended, process) {
			return false
		}
	}
	return true
}
