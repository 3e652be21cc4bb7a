package gateway_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
	"github.com/cranberrywalk/cranberrywalk/suspect"
)

// crashesOfRuns returns the number of crashes that the tracker of runs holds a while from now.
// Cleared ones are dropped from time to time.
func (r *rig) crashesOfRuns(after time.Duration) int {
	return len(r.runs.Report(true, time.Now().Add(after)).Crashes)
}

// Guards against streams that are taken for the cause of a crash since the daemon itself has stopped
// their runs to move them, or since their runner leaves.
func TestStreamThatLeavesItsRunnerHasNotCrashedIt(t *testing.T) {
	for _, scenario := range []struct {
		name string
		// leaves is true if the runner leaves and ends without a move.
		leaves bool
	}{{"moved", false}, {"the runner leaves", true}} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t, always(standin.Behaviour{Events: 40, Gap: 20 * time.Millisecond}), always(standin.Behaviour{Events: 40}))
			r.mover.copied, r.mover.stop = true, r.runners[0].ResetConnections
			go func() {
				if !scenario.leaves {
					r.moveFirstRunner()
					return
				}
				r.awaitArrival(0)
				time.Sleep(100 * time.Millisecond)
				r.gateway.Balancer.MarkLeaving(r.runnerEntry(0))
				r.runners[0].Close()
			}()
			r.c.Check(r.send("/resumable/a").body, qt.Equals, standin.Events(40))
			r.c.Check(r.crashesOfRuns(0), qt.Equals, 0)
		})
	}
}

// Guards against sound requests that are taken for the cause of crashes since one of their
// connections was reset, or one stream fell silent, while their runner went on.
func TestRunnerThatGoesOnHasNotCrashed(t *testing.T) {
	for _, scenario := range []struct {
		name  string
		first standin.Behaviour
	}{
		{"reset", standin.Behaviour{Events: 40, Gap: 20 * time.Millisecond, ResetAfter: 15}},
		{"silent", standin.Behaviour{Events: 40, Gap: 20 * time.Millisecond, StallAfter: 5}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			slow := standin.Behaviour{Events: 40, Gap: 400 * time.Millisecond}
			r := newRig(t, inTurn(slow, scenario.first), always(standin.Behaviour{Events: 40}))
			done := make(chan struct{})
			go func() {
				defer close(done)
				r.send("/single/other", with(standin.HeaderDeadline, "2500"))
			}()
			r.awaitArrival(0)
			r.c.Check(r.send("/resumable/a").body, qt.Equals, standin.Events(40))
			<-done
			r.c.Check(r.crashesOfRuns(0), qt.Equals, 0)
		})
	}
}

// Guards against what was learned of a request that crashes its runners being cleared by a part of
// an answer, and against a sound one that stays suspected after a whole answer.
func TestOnlyAWholeAnswerClearsARequestOfCrashes(t *testing.T) {
	events := standin.Behaviour{Events: 40, Gap: 20 * time.Millisecond}
	broken := events
	broken.ResetAfter = 20
	r := newRig(t, inTurn(broken, broken, events))
	for i, crashes := range []int{1, 1, 0} {
		got := r.send("/single/a", with(standin.HeaderCallID, fmt.Sprint("attempt-", i)))
		r.c.Check(got.broken, qt.Equals, crashes > 0)
		r.c.Check(r.crashesOfRuns(time.Duration(i)*time.Minute), qt.Equals, crashes)
		time.Sleep(suspect.RunCrashOptions().LifeSignWindow)
	}
}
