package suspect_test

import (
	"fmt"
	"slices"
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

// Guards against sound requests that are refused since no request with their first segment was
// answered before the crashes.
func TestOnlyRequestsWithAllSuspectSegmentsAreRefused(t *testing.T) {
	d := newDaemons(t, 1)
	for range 3 {
		d.crash(0, []string{"first", "bad"}, []string{"first", fmt.Sprint("sound-", d.runner)})
		d.settle()
	}
	d.c.Check(d.isRefused(0, "first", "bad"), qt.IsTrue)
	d.c.Check(d.isRefused(0, "first", "other"), qt.IsFalse)
	d.c.Check(d.isRefused(0, "another", "bad"), qt.IsFalse)
	d.answer(0, "first", "other")
	d.c.Check(d.isRefused(0, "another", "bad"), qt.IsTrue)
	d.c.Check(d.isRefused(0, "first", "other"), qt.IsFalse)
}

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

// Guards against one crash that counts once for each daemon whose requests it breaks off.
func TestCrashThatSeveralDaemonsSeeCountsOnce(t *testing.T) {
	d := newDaemons(t, 6)
	for range 2 {
		d.runner++
		for i := range d.trackers {
			d.breakOff(d.runner, i, []string{"first", "bad"})
			d.pass(5 * time.Millisecond)
		}
		d.settle()
	}
	d.c.Check(d.isRefused(0, "first", "bad"), qt.IsFalse)
	d.crash(5, []string{"first", "bad"})
	d.settle()
	d.c.Check(d.isRefused(0, "first", "bad"), qt.IsTrue)
}

// Guards against a lost zone whose runners all break off requests with the same first segment.
func TestCrashesAtTheSameTimeCountOnce(t *testing.T) {
	d := newDaemons(t, 2)
	for range 2 {
		for i := range 10 {
			d.crash(i%2, []string{"first", fmt.Sprint("second-", i)})
			d.pass(3 * time.Millisecond)
		}
		d.settle()
	}
	d.c.Check(d.isRefused(0, "first", "other"), qt.IsFalse)
}

// Guards against a runner that resets connections and goes on, such as one whose link is bad.
func TestResetsAreNoCrashes(t *testing.T) {
	for _, scenario := range []struct {
		name string
		// isNew is true if each reset is at another runner, and hasData if the runner sends data
		// afterwards.
		isNew, hasData, isRefused bool
	}{
		{"of one runner", false, false, false},
		{"of runners that send data afterwards", true, true, false},
		{"of runners that are gone", true, false, true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			d := newDaemons(t, 2)
			for range 4 {
				if scenario.isNew {
					d.runner++
				}
				d.breakOff(d.runner, 0, []string{"first", "rare"})
				d.exchange()
				sent := d.now
				d.pass(200 * time.Millisecond)
				if scenario.hasData {
					d.trackers[0].RecordData(d.runner, sent, d.now)
				}
				d.settle()
			}
			d.c.Check(d.isRefused(0, "first", "rare"), qt.Equals, scenario.isRefused)
			d.c.Check(d.isRefused(1, "first", "rare"), qt.Equals, scenario.isRefused)
		})
	}
}

// Guards against a crash that is overlooked since the same runner had lost a connection before.
func TestCrashAfterDisprovedResetCounts(t *testing.T) {
	d := newDaemons(t, 2)
	for range 3 {
		d.crash(0, []string{"first", "bad"})
		sent := d.now
		d.pass(200 * time.Millisecond)
		d.trackers[0].RecordData(d.runner, sent, d.now)
		d.settle()
		d.breakOff(d.runner, 0, []string{"first", "bad"})
		d.settle()
	}
	d.c.Check(d.isRefused(0, "first", "bad"), qt.IsTrue)
	d.c.Check(d.isRefused(1, "first", "bad"), qt.IsTrue)
}

// Guards against sound requests that are blamed for the crash of a runner which was dead before
// they were sent.
func TestRequestsAtDeadRunnerAreNoSuspects(t *testing.T) {
	d := newDaemons(t, 2)
	for range 5 {
		d.crash(0, []string{"first", "bad"})
		for range 4 {
			d.pass(300 * time.Millisecond)
			d.breakOff(d.runner, 1, []string{"first", "sound"})
		}
		d.settle()
	}
	d.c.Check(d.isRefused(0, "first", "bad"), qt.IsTrue)
	d.c.Check(d.isRefused(0, "first", "sound"), qt.IsFalse)
	d.c.Check(d.isRefused(1, "first", "sound"), qt.IsFalse)
}

// Guards against the suspects of a crash that are forgotten since a daemon that was paused
// notices the crash late.
func TestCrashThatIsNoticedLateIsTheSame(t *testing.T) {
	d := newDaemons(t, 2)
	for range 3 {
		sent := d.now
		d.pass(50 * time.Millisecond)
		d.crash(0, []string{"bad"})
		d.settle()
		d.pass(20 * time.Second)
		d.trackers[1].RecordCrash(d.runner, suspect.Attempt{Traits: []string{"sound"}, Sent: sent}, d.now)
		d.settle()
	}
	d.c.Check(d.isRefused(0, "bad"), qt.IsTrue)
	d.c.Check(d.isRefused(1, "bad"), qt.IsTrue)
}

// Guards against a crash that is overlooked since its runner had lost a connection long before.
func TestLostConnectionLongBeforeACrash(t *testing.T) {
	d := newDaemons(t, 2)
	for range 3 {
		d.crash(1, []string{"other"})
		d.pass(20 * time.Second)
		d.breakOff(d.runner, 0, []string{"bad"})
		d.settle()
	}
	d.c.Check(d.isRefused(0, "bad"), qt.IsTrue)
	d.c.Check(d.isRefused(1, "bad"), qt.IsTrue)
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

// Guards against sound segments that are blamed beside the one that crashes all runners at nearly
// the same time, again and again, so that no sound request is answered.
func TestSegmentIsFoundWhileNothingIsAnswered(t *testing.T) {
	d := newDaemons(t, 2)
	sound := func(number int) []string { return []string{"first", fmt.Sprint("sound-", number%10)} }
	for wave := range 5 {
		sent := d.now
		for i := range 4 {
			d.pass(30 * time.Millisecond)
			d.crash(i%2, sound(7*wave+i), sound(7*wave+i+3), sound(7*wave+i+5))
			d.trackers[i%2].RecordCrash(d.runner, suspect.Attempt{Traits: []string{"first", "bad"}, Sent: sent}, d.now)
		}
		d.settle()
		for number := range 10 {
			d.c.Check(d.isRefused(0, sound(number)...), qt.IsFalse, qt.Commentf("sound request %d after wave %d", number, wave))
		}
	}
	d.c.Check(d.isRefused(0, "first", "bad"), qt.IsTrue)
	d.c.Check(d.isRefused(1, "first", "bad"), qt.IsTrue)
}

// Guards against a segment that is refused only together with the first segments that came with
// it, while requests with others crash runners.
func TestSegmentIsFoundWithEachFirstSegment(t *testing.T) {
	d := newDaemons(t, 1)
	for i := range 5 {
		d.crash(0, []string{fmt.Sprint("first-", i/3), "bad"})
		d.settle()
	}
	d.c.Check(d.isRefused(0, "first-9", "bad"), qt.IsTrue)
	d.c.Check(d.isRefused(0, "first-0", "other"), qt.IsFalse)
}

// Guards against a sound segment that is blamed since all requests in the first crashes had it by
// chance, and one that is never blamed although only more crashes could tell it from a sound one.
func TestEqualSuspectsAreToldApartByLaterCrashes(t *testing.T) {
	for _, laterCrashes := range []struct {
		hasSound  bool
		isRefused bool
	}{{false, false}, {true, true}} {
		d := newDaemons(t, 1)
		for range 3 {
			d.crash(0, []string{"bad"}, []string{"sound"})
			d.settle()
		}
		d.c.Check(d.isRefused(0, "bad"), qt.IsFalse)
		d.c.Check(d.isRefused(0, "sound"), qt.IsFalse)
		for range 2 {
			requests := [][]string{{"bad"}}
			if laterCrashes.hasSound {
				requests = append(requests, []string{"sound"})
			}
			d.crash(0, requests...)
			d.settle()
		}
		d.c.Check(d.isRefused(0, "bad"), qt.IsTrue)
		d.c.Check(d.isRefused(0, "sound"), qt.Equals, laterCrashes.isRefused)
	}
}
