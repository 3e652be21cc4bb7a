package suspect_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/suspect"
)

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
