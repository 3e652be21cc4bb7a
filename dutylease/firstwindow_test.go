package dutylease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/dutylease"
)

// windowLength is the length of a usage window in these tests.
const windowLength = 5 * time.Second

// windowAt returns the window that contains a time.
func windowAt(at time.Time) int64 { return at.Sub(start).Nanoseconds() / int64(windowLength) }

// deciders are processes that decide ended windows and tell nobody.
type deciders struct {
	*log
	// entered holds when each process learned of the present epoch.
	entered map[string]time.Time
	// sent holds the counts with which a window was reported.
	sent map[int64]int64
}

// catchUp applies the entries that a process has not read.
func (d *deciders) catchUp(name string, now time.Time) *dutylease.LeaseState {
	if d.states[name].End().Epoch < d.epoch {
		d.entered[name] = now
	}
	return d.log.catchUp(name, now)
}

// firstWindow returns the first window that a process may decide.
func (d *deciders) firstWindow(name string) int64 {
	if first, isKnown := d.states[name].FirstWindow(); isKnown {
		return first
	}
	return windowAt(d.entered[name])
}

// write appends a record of a process.
func (d *deciders) write(name string, record dutylease.Record, now time.Time) bool {
	record.FirstWindow = d.firstWindow(name)
	return d.append(name, record, now)
}

// step makes a process acquire or renew the lease, and report the last window if it may.
func (d *deciders) step(t *rapid.T, name string, now time.Time, counts int64) {
	s := d.catchUp(name, now)
	switch {
	case d.holds(name, now):
		d.report(t, name, now, counts)
	case s.MayAcquire(now):
		d.write(name, dutylease.Record{Takes: true, Reports: s.UnloggedReports()}, now)
	}
}

// report decides and sends the report of the last window that has ended.
func (d *deciders) report(t *rapid.T, name string, now time.Time, counts int64) {
	window := windowAt(now) - 1
	report, _, decided := d.states[name].Report(window, now)
	if !decided {
		report = dutylease.Report{Window: window, Counts: map[string]int64{"library": counts}}
		if window < d.firstWindow(name) || !d.write(name, dutylease.Record{Reports: []dutylease.Report{report}}, now) {
			return
		}
	}
	if before, found := d.sent[window]; found && before != report.Counts["library"] {
		t.Fatalf("%s reports %d requests for window %d, which was reported with %d", name, report.Counts["library"], window, before)
	}
	d.sent[window] = report.Counts["library"]
}

// TestWindowIsReportedOnceAcrossRestartsAndRestores guards against a second report of a
// window with other counts, by any process, after any series of restores of the log and
// restarts of processes that have told nobody what they decided.
func TestWindowIsReportedOnceAcrossRestartsAndRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		d := &deciders{log: newLog(names...), entered: make(map[string]time.Time), sent: make(map[int64]int64)}
		now := start
		copied := 0
		for counts := range rapid.IntRange(1, 100).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "process")
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "milliseconds")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				copied = len(d.records)
			case 1:
				d.restore(min(copied, len(d.records)))
			case 2:
				d.states[name] = dutylease.NewLeaseState(options, name, now)
				d.entered[name] = now
			default:
				d.step(t, name, now, int64(counts)+1)
			}
		}
	})
}

// TestHolderKnowsItsReportsAfterRestore guards against windows that stay unreported
// although their holder was never replaced.
func TestHolderKnowsItsReportsAfterRestore(t *testing.T) {
	for name, scenario := range map[string]struct {
		process string
		away    time.Duration
		known   bool
	}{
		"the holder, whose lease lasts":         {"a", options.Lease / 2, true},
		"the holder, before others may acquire": {"a", options.Lease + options.Margin/2, true},
		"the holder, after others may acquire":  {"a", options.Lease + options.Margin, false},
		"another process":                       {"b", options.Lease / 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := newLog("a", "b")
			l.acquire("a", start)
			l.catchUp("b", start)
			l.restore(1)
			_, known := l.catchUp(scenario.process, start.Add(scenario.away)).FirstWindow()
			c.Check(known, qt.Equals, scenario.known)
		})
	}
}
