package gateway_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// stalledBody returns a behaviour whose body stops after its first bytes.
func stalledBody(behaviour standin.Behaviour) standin.Behaviour {
	behaviour.Body, behaviour.StallAfter = "no answer", 3
	return behaviour
}

// promptly is shorter than the idle timeouts and the deadline of a request.
const promptly = 350 * time.Millisecond

// TestStalledBodyOfRejectionDelaysNoRequest guards against requests that wait for the
// body of a rejection until their deadline, although another runner is idle.
func TestStalledBodyOfRejectionDelaysNoRequest(t *testing.T) {
	rejection := stalledBody(standin.Behaviour{Status: 503, NotRun: true})
	for _, scenario := range []struct {
		path   string
		answer standin.Behaviour
		body   string
	}{
		{"/once/a", okAnswer, "answer"},
		{"/again/a", okAnswer, "answer"},
		{"/stream/a", standin.Behaviour{Events: 3}, standin.Events(3)},
		{"/resumable/a", standin.Behaviour{Events: 3}, standin.Events(3)},
	} {
		t.Run(scenario.path, func(t *testing.T) {
			r := newRig(t, always(rejection), always(scenario.answer))
			began := time.Now()
			got := r.send(scenario.path)
			r.c.Check(got.status, qt.Equals, 200)
			r.c.Check(got.body, qt.Equals, scenario.body)
			r.c.Check(time.Since(began) < promptly, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			r.c.Check(r.arrivals(), qt.DeepEquals, []int{1, 1})
		})
	}
}

// TestStalledBodyOfFailureDelaysNoRequest guards against requests that wait for the body
// of a failure that is not forwarded.
func TestStalledBodyOfFailureDelaysNoRequest(t *testing.T) {
	for _, scenario := range []struct {
		name, path string
		failure    standin.Behaviour
		status     int
		arrivals   []int
	}{
		{"failure without confirmation that the request was not run", "/once/a", standin.Behaviour{Status: 503}, 502, []int{1, 0}},
		{"the same for an idempotent request", "/again/a", standin.Behaviour{Status: 503}, 200, []int{1, 1}},
		{"the same for a stream", "/stream/a", standin.Behaviour{Status: 503}, 502, []int{1, 0}},
		{"failure of a resumable stream", "/resumable/a", standin.Behaviour{Status: 500}, 200, []int{1, 1}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t, always(stalledBody(scenario.failure)), always(standin.Behaviour{Events: 3}))
			began := time.Now()
			got := r.send(scenario.path)
			r.c.Check(got.status, qt.Equals, scenario.status)
			r.c.Check(time.Since(began) < promptly, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			r.c.Check(r.arrivals(), qt.DeepEquals, scenario.arrivals)
		})
	}
}

// TestConnectionOfSmallRejectionIsReused guards against a new connection to the runner
// for each rejection.
func TestConnectionOfSmallRejectionIsReused(t *testing.T) {
	for _, body := range []string{"", "busy"} {
		t.Run("body "+body, func(t *testing.T) {
			r := newRig(t, always(standin.Behaviour{Status: 503, NotRun: true, Body: body}), always(okAnswer))
			for range 3 {
				r.c.Assert(r.send("/once/a").status, qt.Equals, 200)
			}
			r.c.Check(r.runners[0].AcceptedConnections(), qt.Equals, 1)
		})
	}
}
