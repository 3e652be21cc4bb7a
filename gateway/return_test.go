package gateway_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// TestAbandonedAttemptReturnsToItsRunner guards against streams that are cut, and requests
// that fail, because the runner chosen in place of a silent one did not run them. The
// silent runner is asked again, since no further runner may be.
func TestAbandonedAttemptReturnsToItsRunner(t *testing.T) {
	stalled := func() func(standin.ReceivedRequest) standin.Behaviour {
		return inTurn(standin.Behaviour{Events: 6, StallAfter: 3}, standin.Behaviour{Events: 6})
	}
	silent := func() func(standin.ReceivedRequest) standin.Behaviour {
		return inTurn(standin.Behaviour{Silent: true}, okAnswer)
	}
	for _, scenario := range []struct {
		name     string
		path     string
		first    func() func(standin.ReceivedRequest) standin.Behaviour
		closed   bool
		retries  int
		body     string
		broken   bool
		arrivals int
		rejected int
	}{
		{"stream after a rejection", "/resumable/a", stalled, false, 9, standin.Events(6), false, 2, 1},
		{"stream after a failed connection", "/resumable/a", stalled, true, 9, standin.Events(6), false, 2, 0},
		{"request after a rejection", "/again/a", silent, false, 9, "answer", false, 2, 1},
		{"request after a failed connection", "/again/a", silent, true, 9, "answer", false, 2, 0},
		{"stream without a retry left", "/resumable/a", stalled, false, 1, standin.Events(3), true, 1, 1},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			rejects := always(standin.Behaviour{Status: 503, NotRun: true})
			r := newRig(t, scenario.first(), rejects, rejects)
			r.takeRetries(scenario.retries)
			if scenario.closed {
				r.runners[1].Close()
				r.runners[2].Close()
			}
			got := r.send(scenario.path)
			r.c.Check(got.body, qt.Equals, scenario.body)
			r.c.Check(got.broken, qt.Equals, scenario.broken)
			arrivals := r.arrivals()
			r.c.Check(arrivals[0], qt.Equals, scenario.arrivals)
			r.c.Check(arrivals[1]+arrivals[2], qt.Equals, scenario.rejected, qt.Commentf("two runners at most"))
		})
	}
}
