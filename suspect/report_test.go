package suspect_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/suspect"
)

func TestEachDaemonSeesFewCrashes(t *testing.T) {
	d := newDaemons(t, 8)
	for i := range 3 {
		d.crash(i, []string{"first", "bad"})
		d.settle()
	}
	for i := range d.trackers {
		d.c.Check(d.isRefused(i, "first", "bad"), qt.IsTrue, qt.Commentf("daemon %d", i))
	}
}

// Guards against sound segments that are refused because of one daemon that has not seen their
// answers.
func TestAnswersElsewhereClearSegments(t *testing.T) {
	d := newDaemons(t, 2)
	for range 4 {
		d.crash(0, []string{"first", "second"})
		d.pass(50 * time.Millisecond)
		d.answer(1, "first", "second")
		d.settle()
	}
	d.c.Check(d.isRefused(0, "first", "second"), qt.IsFalse)
}

func TestNewDaemonLearnsOfFindings(t *testing.T) {
	d := newDaemons(t, 1)
	for range 3 {
		d.crash(0, []string{"first", "bad"})
		d.settle()
	}
	d.pass(time.Minute)
	started := suspect.NewCrashTracker(suspect.DefaultCrashOptions())
	started.Merge(d.trackers[0].Report(true, d.now), d.now, d.now)
	d.c.Check(started.Admit([]string{"first", "bad"}, never, d.now).Refused, qt.IsTrue)
}

// Guards against a finding of a daemon that was cut off and comes back to the others, which
// have cleared its segment.
func TestClearedFindingDoesNotComeBack(t *testing.T) {
	d := newDaemons(t, 2)
	for range 3 {
		d.crash(0, []string{"sound"})
		d.settle()
	}
	d.c.Assert(d.isRefused(1, "sound"), qt.IsTrue)
	d.answer(1, "sound")
	d.pass(time.Minute)
	d.exchange()
	d.exchange()
	d.c.Check(d.isRefused(0, "sound"), qt.IsFalse)
	d.c.Check(d.isRefused(1, "sound"), qt.IsFalse)
}

// Guards against memory and reports that grow with the crashes, and against a finding that is
// lost with the crashes that led to it.
func TestCrashesAndReportsAreBounded(t *testing.T) {
	d := newDaemons(t, 2)
	for range 3 {
		d.crash(0, []string{"bad"})
		d.settle()
	}
	for range 1000 {
		d.runner++
		for request := range 100 {
			d.breakOff(d.runner, 0, []string{fmt.Sprint("segment-", d.runner, "-", request)})
		}
		d.pass(10 * time.Millisecond)
	}
	report := d.trackers[0].Report(true, d.now)
	attempts := 0
	for _, crash := range report.Crashes {
		attempts += len(crash.Attempts)
	}
	d.c.Check(attempts <= 256, qt.IsTrue, qt.Commentf("%d attempts", attempts))
	d.exchange()
	d.c.Check(d.isRefused(0, "bad"), qt.IsTrue)
	d.c.Check(d.isRefused(1, "bad"), qt.IsTrue)
}

func TestReportsAreMergedInAnyOrder(t *testing.T) {
	d := newDaemons(t, 4)
	var reports []suspect.CrashReport
	for i := range 3 {
		d.crash(i, []string{"first", "bad"}, []string{"first", fmt.Sprint("sound-", i)})
		d.pass(time.Second)
	}
	d.answer(0, "first")
	for _, tracker := range d.trackers {
		reports = append(reports, tracker.Report(false, d.now))
	}
	merge := func() []suspect.Finding {
		tracker := suspect.NewCrashTracker(suspect.DefaultCrashOptions())
		for _, report := range reports {
			tracker.Merge(report, d.now, d.now)
		}
		return tracker.Findings(d.now.Add(time.Second))
	}
	forward := merge()
	slices.Reverse(reports)
	d.c.Assert(forward, qt.HasLen, 1)
	d.c.Check(forward[0].Traits, qt.DeepEquals, []string{"bad"})
	d.c.Check(merge(), qt.DeepEquals, forward)
}
