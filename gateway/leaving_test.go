package gateway_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// TestRunnerThatSaidItLeavesGetsNoNewRequest guards against requests that are sent to a
// runner after it has said in any kind of answer that it leaves.
func TestRunnerThatSaidItLeavesGetsNoNewRequest(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		path   string
		answer standin.Behaviour
	}{
		{"in a success", "/once/a", standin.Behaviour{Body: "answer", Leaving: true}},
		{"in an error response", "/once/a", standin.Behaviour{Status: 500, Leaving: true}},
		{"in a rejection", "/once/a", standin.Behaviour{Status: 503, NotRun: true, Leaving: true}},
		{"in a response to an idempotent request", "/again/a", standin.Behaviour{Status: 500, Leaving: true}},
		{"in the head of a stream", "/stream/a", standin.Behaviour{Events: 3, Leaving: true}},
		{"in a stream that breaks off", "/resumable/a", standin.Behaviour{Events: 3, ResetAfter: 1, Leaving: true}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t, always(scenario.answer), always(standin.Behaviour{Events: 3}))
			r.mover.err = &noRunError{}
			r.send(scenario.path)
			for _, got := range r.sendMany("/stream/a", 8) {
				r.c.Check(got.body, qt.Equals, standin.Events(3))
			}
			r.c.Check(r.arrivals()[0], qt.Equals, 1)
		})
	}
}

// noRunError is the failure of each move in tests without moves.
type noRunError struct{}

func (*noRunError) Error() string { return "no run to move" }

// TestOnlyRunnerLeaves guards against the fallback to runners that look unreachable: it
// must not bring back a runner that leaves.
func TestOnlyRunnerLeaves(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Body: "answer", Leaving: true}))
	first := r.send("/once/a")
	r.c.Check(first.status, qt.Equals, http.StatusOK)
	r.c.Check(first.header.Get(standin.HeaderLeaving), qt.Equals, "1", qt.Commentf("the caller gets the field unchanged"))
	refused := r.send("/once/a")
	r.c.Check(refused.status, qt.Equals, http.StatusServiceUnavailable)
	r.c.Check(refused.header.Get("Retry-After"), qt.Equals, "0.500")
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{1})
}

// TestStreamsMoveWhenTheirRunnerSaysItLeaves guards against streams that stay at a
// runner which has said in answers to other requests that it leaves, and against a move
// for each of those answers.
func TestStreamsMoveWhenTheirRunnerSaysItLeaves(t *testing.T) {
	const plainDuration = 100 * time.Millisecond
	first := func(arrival standin.ReceivedRequest) standin.Behaviour {
		if strings.HasPrefix(arrival.Target, "/single/") {
			return standin.Behaviour{Events: 80, Gap: 20 * time.Millisecond}
		}
		return standin.Behaviour{Body: "answer", Gap: plainDuration, Leaving: true}
	}
	second := func(arrival standin.ReceivedRequest) standin.Behaviour {
		if strings.HasPrefix(arrival.Target, "/single/") {
			return standin.Behaviour{Events: 80}
		}
		return standin.Behaviour{Body: "answer", Gap: plainDuration}
	}
	r := newRig(t, first, second)
	var once sync.Once
	r.mover.copied = true
	r.mover.stop = func() { once.Do(func() { r.runners[0].ResetConnections() }) }
	streamed := make(chan reply)
	go func() { streamed <- r.send("/single/a") }()
	for r.arrivals()[0] == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	// Both runners get some of these, as each takes a while.
	r.sendMany("/once/a", 8)
	got := <-streamed
	r.c.Check(got.broken, qt.IsFalse)
	r.c.Check(got.body, qt.Equals, standin.Events(80))
	r.c.Check(r.mover.stopCount(), qt.Equals, 1)
}
