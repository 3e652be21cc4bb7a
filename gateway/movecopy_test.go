package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// moveFirstRunner moves the streams of the rig's first runner once one is under way.
func (r *rig) moveFirstRunner() {
	r.awaitArrival(0)
	time.Sleep(100 * time.Millisecond)
	r.gateway.MoveStreams(r.runners[0].ID)
}

// TestRunIsNotStoppedWithoutACopy guards against streams that are interrupted for a
// runner that has no room or can't be reached.
func TestRunIsNotStoppedWithoutACopy(t *testing.T) {
	for _, scenario := range []struct {
		name string
		err  error
	}{
		{"no room", &platform.MoveError{Status: 503}},
		{"no answer", &platform.MoveError{}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t, always(standin.Behaviour{Events: 40, Gap: 20 * time.Millisecond}), always(standin.Behaviour{Events: 40}))
			r.mover.copyErr = scenario.err
			r.mover.stop = r.runners[0].ResetConnections
			go r.moveFirstRunner()
			got := r.send("/single/a")
			r.c.Check(got.body, qt.Equals, standin.Events(40))
			r.c.Check(r.arrivals(), qt.DeepEquals, []int{1, 0})
			r.c.Check(r.mover.stopCount(), qt.Equals, 0)
		})
	}
}

// TestStoppedRunContinuesWithoutTheAnswerToTheStop guards against streams that are cut or
// begin anew because the answer of the runner that stopped them was lost.
func TestStoppedRunContinuesWithoutTheAnswerToTheStop(t *testing.T) {
	for _, path := range []string{"/single/a", "/resumable/a"} {
		t.Run(path, func(t *testing.T) {
			r := newRig(t, always(standin.Behaviour{Events: 40, Gap: 20 * time.Millisecond}), always(standin.Behaviour{Events: 40}))
			r.mover.answerLost = true
			r.mover.stop = r.runners[0].ResetConnections
			go r.moveFirstRunner()
			got := r.send(path)
			r.c.Check(got.body, qt.Equals, standin.Events(40))
			r.c.Assert(r.arrivals(), qt.DeepEquals, []int{1, 1})
			r.c.Check(r.runners[1].ReceivedRequests()[0].Header.Get(standin.HeaderCacheSource), qt.Equals, r.runners[0].Address()+"/h1")
			r.c.Check(r.mover.freedCopies(), qt.HasLen, 0, qt.Commentf("the copy is in use"))
		})
	}
}

// copyEndsAfter is longer than the deadline of a request.
const copyEndsAfter = 2500 * time.Millisecond

// TestStreamDoesNotWaitForItsCopy guards against streams that have broken off or fallen
// silent and are not resumed before the copy of their run is complete.
func TestStreamDoesNotWaitForItsCopy(t *testing.T) {
	for _, scenario := range []struct {
		name  string
		first standin.Behaviour
	}{
		{"broken off", standin.Behaviour{Events: 40, Gap: 20 * time.Millisecond, ResetAfter: 15}},
		{"silent", standin.Behaviour{Events: 40, Gap: 20 * time.Millisecond, StallAfter: 15}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t, always(scenario.first), always(standin.Behaviour{Events: 40}))
			r.mover.copied, r.mover.hold = true, make(chan struct{})
			r.mover.stop = func() {}
			release := sync.OnceFunc(func() { close(r.mover.hold) })
			time.AfterFunc(copyEndsAfter, release)
			go r.moveFirstRunner()
			got := r.send("/resumable/a")
			r.c.Check(got.body, qt.Equals, standin.Events(40))
			r.c.Check(r.arrivals(), qt.DeepEquals, []int{1, 1})
			release()
			r.awaitFreed()
			r.c.Check(r.mover.stopCount(), qt.Equals, 0)
		})
	}
}

// TestUnusedCopyIsFreed guards against copies that take up a slot and memory of a runner
// although no request uses them.
func TestUnusedCopyIsFreed(t *testing.T) {
	for _, scenario := range []struct {
		name string
		err  error
		// holds is true if the stream ends during the copy.
		holds bool
		// lost is true if nothing is heard of the stop, which never happened.
		lost  bool
		stops int
	}{
		{"the stream ended during the copy", nil, true, false, 0},
		{"the run was not stopped", &platform.MoveError{Status: 409}, false, false, 1},
		{"the request to stop the run was lost", nil, false, true, 1},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t, always(standin.Behaviour{Events: 20, Gap: 20 * time.Millisecond}), always(standin.Behaviour{Events: 20}))
			r.mover.err, r.mover.answerLost = scenario.err, scenario.lost
			r.mover.stop = func() {}
			r.takeRetries(1)
			if scenario.holds {
				r.mover.hold = make(chan struct{})
			}
			go r.moveFirstRunner()
			r.c.Check(r.send("/single/a").body, qt.Equals, standin.Events(20))
			if scenario.holds {
				close(r.mover.hold)
			}
			r.awaitFreed()
			r.c.Check(r.arrivals(), qt.DeepEquals, []int{1, 0})
			r.c.Check(r.mover.stopCount(), qt.Equals, scenario.stops)
			r.c.Check(r.gateway.Balancer.Load("desk", time.Now()).Requests, qt.Equals, 0)
			r.c.Check(r.retriesLeft(), qt.Equals, 1)
		})
	}
}

// awaitFreed waits until the copy of the run is freed.
func (r *rig) awaitFreed() {
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if len(r.mover.freedCopies()) > 0 {
			break
		}
	}
	r.c.Check(r.mover.freedCopies(), qt.DeepEquals, []string{"h1"})
}

// turnedAwayError is the refusal of a runner that wants no requests for a time.
type turnedAwayError struct{ pause time.Duration }

func (*turnedAwayError) Error() string { return "turned away" }

// PauseWanted returns the time for which the runner wants no requests.
func (e *turnedAwayError) PauseWanted() time.Duration { return e.pause }

// TestMoveIsRepeatedAfterThePauseOfItsRunner guards against streams that stay at a leaving
// runner which has turned the request to copy their run away, and against requests within
// the pause that it has asked for.
func TestMoveIsRepeatedAfterThePauseOfItsRunner(t *testing.T) {
	const pause = 200 * time.Millisecond
	r := newRig(t, always(standin.Behaviour{Events: 40, Gap: 20 * time.Millisecond}), always(standin.Behaviour{Events: 40}))
	r.mover.copied, r.mover.refusal = true, &turnedAwayError{pause: pause}
	r.mover.stop = r.runners[0].ResetConnections
	go r.moveFirstRunner()
	r.c.Check(r.send("/single/a").body, qt.Equals, standin.Events(40))
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{1, 1}, qt.Commentf("%s", r.describeArrivals()))
	copies := r.mover.copyTimes()
	r.c.Assert(copies, qt.HasLen, 2)
	r.c.Check(copies[1].Sub(copies[0]) >= pause, qt.IsTrue)
}

// TestMoveIsTriedAgain guards against streams that stay at a leaving runner until it ends
// because their run had not begun, or the first target had no room, when they were to be
// moved.
func TestMoveIsTriedAgain(t *testing.T) {
	for _, status := range []int{404, 409, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			rest := always(standin.Behaviour{Events: 40})
			r := newRig(t, always(standin.Behaviour{Events: 40, Gap: 20 * time.Millisecond}), rest, rest)
			r.mover.copied, r.mover.refusal = true, &platform.MoveError{Status: status}
			r.mover.stop = r.runners[0].ResetConnections
			r.takeRetries(1)
			go r.moveFirstRunner()
			r.c.Check(r.send("/single/a").body, qt.Equals, standin.Events(40))
			r.c.Check(r.mover.stopCount(), qt.Equals, 1)
			r.c.Assert(r.mover.targets, qt.HasLen, 2)
			r.c.Check(r.mover.targets[0], qt.Not(qt.Equals), r.mover.targets[1])
			r.c.Check(r.retriesLeft(), qt.Equals, 0, qt.Commentf("the attempt that was not made is not counted"))
		})
	}
}
