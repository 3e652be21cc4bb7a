package duties

import (
	"context"
	"errors"

	"github.com/cranberrywalk/cranberrywalk/duty"
)

// reportUsage decides the counts of the windows that have ended and reports
// them. What was decided stays: a report that is sent again, here or by the next
// holder, has the same counts.
func (d *Duties) reportUsage(ctx context.Context) {
	now := d.TrueTime.At(d.Clock.Now())
	first := d.Usage.Window(now.Add(-d.options.UsageLimit))
	last := d.Usage.Window(now.Add(-d.options.UsageAfter)) - 1
	var open []duty.Report
	for window := first; window <= last; window++ {
		if _, decided := d.decided(window); decided || d.reported[window] {
			continue
		}
		counts := d.Usage.Total(window)
		if len(counts) > 0 {
			open = append(open, duty.Report{Window: window, Counts: counts})
		}
	}
	if len(open) > 0 && !d.append(ctx, duty.Record{Holder: d.options.Self, Reports: open}) {
		return
	}
	for window := first; window <= last; window++ {
		report, decided := d.decided(window)
		if !decided || d.reported[window] {
			continue
		}
		if !d.send(ctx, report) {
			return
		}
	}
}

func (d *Duties) decided(window int64) (duty.Report, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.holder.Decided(window)
}

// send reports one window. It reports whether the duty goes on.
func (d *Duties) send(ctx context.Context, report duty.Report) bool {
	fence, holding := d.holding()
	if !holding {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	err := d.Platform.ReportUsage(ctx, fence, report)
	var conflict *duty.ConflictError
	switch {
	case err == nil:
		d.reported[report.Window] = true
		d.Log.Info("UsageReported", "Window", report.Window, "Fence", fence, "Counts", report.Counts)
		return true
	case errors.As(err, &conflict):
		d.Log.Info("UsageConflict", "Window", report.Window, "Fence", fence, "Reason", err.Error())
		d.lose()
		return false
	default:
		d.Count("Duties.UsageCallsFailed", 1)
		return false
	}
}
