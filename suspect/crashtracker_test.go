package suspect_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/suspect"
)

// daemons are the trackers of daemons that exchange reports.
type daemons struct {
	c        *qt.C
	trackers []*suspect.CrashTracker
	now      time.Time
	// runner is the last one that crashed.
	runner uint64
}

func newDaemons(t *testing.T, count int) *daemons {
	d := &daemons{c: qt.New(t), now: start}
	for range count {
		d.trackers = append(d.trackers, suspect.NewCrashTracker(suspect.DefaultCrashOptions()))
	}
	return d
}

// pass lets time pass.
func (d *daemons) pass(period time.Duration) { d.now = d.now.Add(period) }

// settle lets enough time pass for a crash to be taken into account, and exchanges reports.
func (d *daemons) settle() {
	d.exchange()
	d.pass(time.Second)
	d.exchange()
}

// exchange has each daemon report to each other one.
func (d *daemons) exchange() {
	for i, from := range d.trackers {
		report := from.Report(false, d.now)
		for j, to := range d.trackers {
			if i != j {
				to.Merge(report, d.now, d.now)
			}
		}
	}
}

// crash crashes another runner that runs the requests of a daemon, one for each list of
// segments.
func (d *daemons) crash(daemon int, requests ...[]string) {
	d.runner++
	d.breakOff(d.runner, daemon, requests...)
}

// breakOff breaks off the requests of a daemon at a runner.
func (d *daemons) breakOff(runner uint64, daemon int, requests ...[]string) {
	for _, segments := range requests {
		d.trackers[daemon].RecordCrash(runner, suspect.Attempt{Traits: segments, Sent: d.now.Add(-50 * time.Millisecond)}, d.now)
	}
}

// answer answers a request of a daemon now.
func (d *daemons) answer(daemon int, segments ...string) {
	d.trackers[daemon].RecordAnswer(segments, d.now, d.now)
}

// isRefused reports whether a daemon refuses a request. No daemon makes trials.
func (d *daemons) isRefused(daemon int, segments ...string) bool {
	return d.trackers[daemon].Admit(segments, never, d.now).Refused
}

func never(string) bool { return false }

func TestSegmentOfCrashesInARowIsRefused(t *testing.T) {
	d := newDaemons(t, 1)
	for i := range 3 {
		d.c.Check(d.isRefused(0, "first", "bad"), qt.IsFalse, qt.Commentf("after %d crashes", i))
		d.crash(0, []string{"first", "bad"})
		d.pass(100 * time.Millisecond)
		d.answer(0, "first", "other")
		d.settle()
	}
	d.c.Check(d.isRefused(0, "first", "bad"), qt.IsTrue)
	d.c.Check(d.isRefused(0, "another", "bad"), qt.IsTrue)
	d.c.Check(d.isRefused(0, "first", "other"), qt.IsFalse)
	d.c.Check(d.isRefused(0), qt.IsFalse)
}

// Guards against old answers that clear a segment which has begun to crash runners since.
func TestAnswerFromBeforeTheCrashesProvesNothing(t *testing.T) {
	d := newDaemons(t, 1)
	began := d.now
	d.answer(0, "first", "bad")
	d.pass(time.Second)
	for range 3 {
		d.crash(0, []string{"first", "bad"})
		d.settle()
	}
	d.trackers[0].RecordAnswer([]string{"first", "bad"}, began.Add(time.Millisecond), d.now)
	d.c.Check(d.isRefused(0, "first", "bad"), qt.IsTrue)
}

// Guards against segments that were refused wrongly and never come back, and against too many
// requests that are sent to find that out.
func TestTrials(t *testing.T) {
	for _, isSound := range []bool{true, false} {
		t.Run(fmt.Sprint("sound: ", isSound), func(t *testing.T) {
			d := newDaemons(t, 3)
			for range 3 {
				d.crash(0, []string{"bad"})
				d.settle()
			}
			trials := 0
			for range 500 {
				d.pass(time.Second)
				for i, tracker := range d.trackers {
					isDeciding := func(string) bool { return i == 1 }
					if !tracker.Admit([]string{"bad", "more"}, isDeciding, d.now).IsTrial {
						continue
					}
					trials++
					if isSound {
						d.answer(i, "bad", "more")
					} else {
						d.crash(i, []string{"bad", "more"})
					}
				}
				d.exchange()
			}
			d.c.Check(d.isRefused(0, "bad"), qt.Equals, !isSound)
			d.c.Check(d.isRefused(2, "bad"), qt.Equals, !isSound)
			if isSound {
				d.c.Check(trials, qt.Equals, 1)
			} else {
				d.c.Check(trials <= 3, qt.IsTrue, qt.Commentf("%d trials", trials))
			}
		})
	}
}

func TestRetryOfSuspectedRequest(t *testing.T) {
	d := newDaemons(t, 1)
	isSuspected := func() bool { return d.trackers[0].IsSuspected([]string{"first", "bad"}, d.now) }
	d.crash(0, []string{"first", "bad"})
	d.c.Check(isSuspected(), qt.IsFalse)
	d.pass(100 * time.Millisecond)
	d.crash(0, []string{"first", "bad"})
	d.c.Check(isSuspected(), qt.IsTrue)
	d.answer(0, "first")
	d.c.Check(isSuspected(), qt.IsTrue)
	d.pass(time.Millisecond)
	d.answer(0, "bad")
	d.c.Check(isSuspected(), qt.IsFalse)
}

func TestFindingsExpire(t *testing.T) {
	options := suspect.DefaultCrashOptions()
	var changes []suspect.FindingChangeKind
	options.OnChange = func(change suspect.FindingChange) { changes = append(changes, change.Kind) }
	d := newDaemons(t, 1)
	d.trackers[0] = suspect.NewCrashTracker(options)
	for range 3 {
		d.crash(0, []string{"bad"})
		d.settle()
	}
	d.pass(options.Lifetime - 3*time.Second)
	d.c.Check(d.isRefused(0, "bad"), qt.IsTrue)
	d.pass(time.Minute)
	d.c.Check(d.isRefused(0, "bad"), qt.IsFalse)
	d.c.Check(changes, qt.DeepEquals, []suspect.FindingChangeKind{suspect.CauseFound, suspect.CauseCleared})
}
