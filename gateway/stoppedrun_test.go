package gateway_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// eventsFrom returns the events first to last of a stream as they are sent.
func eventsFrom(first, last int) string {
	return standin.Events(last)[len(standin.Events(first-1)):]
}

// closedStream is a stream without a length or chunks that ends with its connection.
func closedStream(first, last int, after time.Duration) standin.Behaviour {
	return standin.Behaviour{RawStream: &standin.RawStream{
		Framing: standin.UntilClose, Parts: []string{eventsFrom(first, last)}, Pause: after,
	}}
}

// stopScenario is the end of a stream without a length or chunks whose runner was asked to stop
// its run. The runner sends five events.
type stopScenario struct {
	name string
	// endsAfter is when the runner closes the stream.
	endsAfter time.Duration
	// answersAfter is how long the request to stop the run takes, and lost is true if its answer
	// does not arrive.
	answersAfter time.Duration
	lost         bool
	// err is the answer of a runner that does not stop the run.
	err error
	// want are the events that the caller gets in a complete answer, and arrivals the requests
	// at each runner.
	want     int
	arrivals []int
}

// Guards against a part of a stream that reaches the caller as a complete one: its runner has
// stopped the run as it was asked to and closed the connection.
func TestStreamThatWasStoppedIsNotComplete(t *testing.T) {
	const soon, later, afterTimeout = 250 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond
	unreachable := &platform.MoveError{Cause: &net.OpError{Op: "dial", Err: context.DeadlineExceeded}}
	for _, s := range []stopScenario{
		{"the stop is answered before the end", soon, 0, false, nil, 10, []int{1, 1}},
		{"the stop is answered after the end", soon, later, false, nil, 10, []int{1, 1}},
		{"the answer to the stop is lost", soon, 0, true, nil, 10, []int{1, 1}},
		{"the answer to the stop is lost after the end", soon, later, true, nil, 10, []int{1, 1}},
		{"the stop is carried out late", afterTimeout, 0, true, nil, 10, []int{1, 1}},
		{"the run had ended by itself", soon, 0, false, &platform.MoveError{Status: 404}, 5, []int{1, 0}},
		{"the runner could not be asked to stop the run", soon, 0, false, unreachable, 5, []int{1, 0}},
		{"the run had ended by itself, which is known later", soon, later, false, &platform.MoveError{Status: 404}, 5, []int{1, 0}},
	} {
		for _, path := range []string{"/single/a", "/resumable/a"} {
			t.Run(s.name+" "+path, func(t *testing.T) { s.play(t, path) })
		}
	}
}

func (s stopScenario) play(t *testing.T, path string) {
	r := newRig(t, always(closedStream(1, 5, s.endsAfter)), always(standin.Behaviour{Events: 10}))
	r.mover.copied, r.mover.answerLost = true, s.lost
	r.mover.delay, r.mover.err = s.answersAfter, s.err
	r.mover.stop = func() {}
	go r.moveFirstRunner()
	got := r.send(path)
	r.c.Check(got.broken, qt.IsFalse)
	r.c.Check(got.body, qt.Equals, standin.Events(s.want))
	r.c.Check(r.arrivals(), qt.DeepEquals, s.arrivals)
}

// Guards against a part that reaches the caller as complete since the run, which was stopped,
// can go on nowhere.
func TestStoppedRunThatCannotGoOnIsNotComplete(t *testing.T) {
	r := newRig(t, always(closedStream(1, 5, 250*time.Millisecond)), always(standin.Behaviour{Events: 10}))
	r.mover.stop = func() { r.gateway.Balancer.Pause(r.runnerEntry(0), time.Second, time.Now()) }
	go r.moveFirstRunner()
	got := r.send("/single/a")
	r.c.Check(got.broken, qt.IsTrue)
	r.c.Check(got.body, qt.Equals, standin.Events(5))
}

// Guards against a part that reaches the caller as complete since its runner carries out a
// request to stop the run only after the stream has returned to it.
func TestRunThatIsStoppedAfterItsReturnIsNotComplete(t *testing.T) {
	first := inTurn(closedStream(1, 5, 250*time.Millisecond), closedStream(6, 7, 50*time.Millisecond))
	r := newRig(t, first, always(standin.Behaviour{Status: 503, NotRun: true}))
	r.mover.answerLost = true
	r.mover.stop = func() {}
	go r.moveFirstRunner()
	got := r.send("/single/a")
	r.c.Check(got.broken, qt.IsTrue)
	r.c.Check(got.body, qt.Equals, standin.Events(7))
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{2, 1})
}

// Guards against a whole stream that counts as stopped since a stop was answered before it
// returned to the runner.
func TestRunThatReturnsAfterItsStopIsComplete(t *testing.T) {
	first := inTurn(closedStream(1, 5, 250*time.Millisecond), closedStream(6, 10, 50*time.Millisecond))
	r := newRig(t, first, always(standin.Behaviour{Status: 503, NotRun: true}))
	r.mover.copied = true
	r.mover.stop = func() {}
	go r.moveFirstRunner()
	got := r.send("/single/a")
	r.c.Check(got.broken, qt.IsFalse)
	r.c.Check(got.body, qt.Equals, standin.Events(10))
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{2, 1})
}
