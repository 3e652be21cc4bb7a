package duties

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/dutylease"
)

// reportUsage decides the counts of the windows that have ended and reports them to
// the platform. A decided count never changes, so that a report that is sent again,
// here or by the next holder, has the same counts.
func (d *Duties) reportUsage(ctx context.Context) {
	now := d.SyncedClock.At(d.Clock.Now())
	first := d.firstReportable()
	last := d.Usage.Window(now.Add(-d.options.UsageDelay)) - 1
	d.decideReports(ctx, first, last)
	for window := first; window <= last; window++ {
		report, age, decided := d.decidedReport(window)
		if !decided || d.reported[window] || age < d.options.ReportDelay {
			continue
		}
		if !d.sendReport(ctx, report) {
			return
		}
	}
}

// decideReports decides the counts of the windows from first to last that have any. It
// first merges those that stopped processes have handed over.
func (d *Duties) decideReports(ctx context.Context, first, last int64) {
	if d.Clock.Since(d.started) < d.options.UsageDelay {
		return
	}
	if len(d.dueReports(first, last)) == 0 && last <= d.handoversReadFor {
		return
	}
	if !d.readHandovers(ctx) {
		return
	}
	d.handoversReadFor = last
	d.appendReports(ctx, first, last)
}

// appendReports decides the reports that are due, unless the lease was lost meanwhile.
func (d *Duties) appendReports(ctx context.Context, first, last int64) {
	d.logMutex.Lock()
	defer d.logMutex.Unlock()
	undecided := d.dueReports(first, last)
	if _, holding := d.Holding(); !holding || len(undecided) == 0 {
		return
	}
	end := d.End()
	isAppended := d.append(ctx, dutylease.Record{Holder: d.options.Process, Reports: undecided})
	for _, report := range undecided {
		d.Log.Info("UsageDecided", "Window", report.Window, "Counts", report.Counts, "Entry", end, "Confirmed", isAppended,
			"Running", d.Clock.Since(d.started).String())
	}
}

// firstWindow returns the first window that can't have been decided before the log of
// duties was restored.
func (d *Duties) firstWindow() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if first, isKnown := d.lease.FirstWindow(); isKnown {
		return first
	}
	// Windows are decided UsageDelay after their end. Half of it is for the difference
	// between the clocks of two daemons.
	return d.Usage.Window(d.SyncedClock.At(d.epochEnteredAt).Add(-d.options.UsageDelay / 2))
}

// dueReports returns reports with the present counts of the windows from first to last
// that can't have been decided yet, in this epoch of the log or an earlier one, and for
// whose counts there is no more waiting.
func (d *Duties) dueReports(first, last int64) []dutylease.Report {
	var undecided []dutylease.Report
	for window := max(first, d.firstWindow()); window <= last; window++ {
		if _, _, decided := d.decidedReport(window); decided || d.reported[window] || d.awaitsCounts(window) {
			continue
		}
		if counts := d.Usage.Total(window); len(counts) > 0 {
			undecided = append(undecided, dutylease.Report{Window: window, Counts: counts})
		}
	}
	return undecided
}

// awaitsCounts reports whether a window must wait for outstanding counts.
func (d *Duties) awaitsCounts(window int64) bool {
	deadline := d.Usage.End(window).Add(d.options.UsageDelay + d.options.OutstandingDelay)
	return d.SyncedClock.At(d.Clock.Now()).Before(deadline) && d.Usage.HasOutstanding(window)
}

// decidedReport returns the report of a window, if it is decided, and its age.
func (d *Duties) decidedReport(window int64) (report dutylease.Report, age time.Duration, decided bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.lease.Report(window, d.now())
}

// sendReport reports one window to the platform. It returns whether the remaining
// windows can be reported.
func (d *Duties) sendReport(ctx context.Context, report dutylease.Report) bool {
	fencingToken, holding := d.Holding()
	if !holding {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	err := d.Platform.ReportUsage(ctx, fencingToken, report)
	var conflict *dutylease.ConflictError
	switch {
	case err == nil:
		d.reported[report.Window] = true
		d.Log.Info("UsageReported", "Window", report.Window, "Fence", fencingToken, "Counts", report.Counts)
		return true
	case errors.As(err, &conflict):
		d.Log.Info("UsageConflict", "Window", report.Window, "Fence", fencingToken, "Reason", err.Error())
		d.revokeLease()
		return false
	default:
		d.Count("Duties.UsageCallsFailed", 1)
		return false
	}
}
