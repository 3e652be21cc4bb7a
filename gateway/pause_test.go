package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// longPause outlasts each test.
const longPause = time.Minute

// TestRunnerThatTurnedARequestAwayIsLeftAlone guards against requests that are sent to a
// runner within the time of its Retry-After, by any path.
func TestRunnerThatTurnedARequestAwayIsLeftAlone(t *testing.T) {
	answer := standin.Behaviour{Events: 3}
	for _, scenario := range []struct {
		name  string
		path  string
		first standin.Behaviour
		// status is that of the first request.
		status int
		// arrivals counts the requests at the first runner after nine requests.
		arrivals int
	}{
		{"a rejection", "/stream/a", standin.Behaviour{Status: 503, NotRun: true, RetryAfter: longPause}, 200, 1},
		{"a rejection of a plain request", "/once/a", standin.Behaviour{Status: 503, NotRun: true, RetryAfter: longPause}, 200, 1},
		{"a 503 that does not say whether the request was run", "/once/a", standin.Behaviour{Status: 503, RetryAfter: longPause}, 502, 1},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t, always(scenario.first), always(answer))
			r.c.Check(r.send(scenario.path).status, qt.Equals, scenario.status)
			for _, got := range r.sendMany("/stream/a", 8) {
				r.c.Check(got.body, qt.Equals, standin.Events(3))
			}
			r.c.Check(r.arrivals()[0], qt.Equals, scenario.arrivals)
		})
	}
}

// TestRetryAfterOfOtherAnswers guards against a runner that is avoided, or a field that
// is dropped, because of a Retry-After in an answer that turns nothing away.
func TestRetryAfterOfOtherAnswers(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Status: 500, Body: "no", RetryAfter: longPause}))
	for range 2 {
		got := r.send("/once/a")
		r.c.Check(got.status, qt.Equals, http.StatusInternalServerError)
		r.c.Check(got.header.Get("Retry-After"), qt.Equals, "60.000")
	}
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{2})
}

// TestRunnerIsUsedAgainAfterItsPause guards against a runner that is avoided for longer
// than it asked for.
func TestRunnerIsUsedAgainAfterItsPause(t *testing.T) {
	const pause = 100 * time.Millisecond
	r := newRig(t, inTurn(standin.Behaviour{Status: 503, NotRun: true, RetryAfter: pause}, okAnswer))
	r.c.Check(r.send("/once/a").status, qt.Equals, http.StatusServiceUnavailable)
	time.Sleep(pause)
	r.c.Check(r.send("/once/a").status, qt.Equals, http.StatusOK)
}

// TestCallersReturnWhenARunnerTakesRequestsAgain guards against callers that come back
// while every runner still turns them away, and against a request that is held until its
// deadline although no runner may get it.
func TestCallersReturnWhenARunnerTakesRequestsAgain(t *testing.T) {
	const shorter = 5 * time.Second
	r := newRig(t,
		always(standin.Behaviour{Status: 503, NotRun: true, RetryAfter: longPause}),
		always(standin.Behaviour{Status: 503, NotRun: true, RetryAfter: shorter}))
	began := time.Now()
	for range 3 {
		got := r.send("/once/a")
		r.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		r.c.Assert(err, qt.IsNil)
		r.c.Check(wait <= shorter.Seconds(), qt.IsTrue, qt.Commentf("%v s", wait))
		r.c.Check(wait >= (shorter-time.Since(began)).Seconds()-0.001, qt.IsTrue, qt.Commentf("%v s", wait))
	}
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{1, 1})
}

// TestRetryAfterForCallersIsBounded guards against callers that stay away for as long as
// the present runners ask, although others may come.
func TestRetryAfterForCallersIsBounded(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Status: 503, NotRun: true, RetryAfter: longPause}))
	for range 2 {
		r.c.Check(r.send("/once/a").header.Get("Retry-After"), qt.Equals, "10.000")
	}
}

// TestStoppedRunReturnsToNoPausedRunner guards against a stream that goes back to the
// runner that stopped it, while that runner wants no requests.
func TestStoppedRunReturnsToNoPausedRunner(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		path   string
		copied bool
		// whole is true if the caller gets the whole stream.
		whole bool
		// arrivals counts the requests at each runner.
		arrivals []int
	}{
		{"rejected by the new runner", "/single/a", true, false, []int{1, 1}},
		{"not copied", "/single/a", false, false, []int{1, 0}},
		{"not copied and resumable", "/resumable/a", false, true, []int{1, 1}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			second := func(arrival standin.ReceivedRequest) standin.Behaviour {
				if arrival.Header.Get(standin.HeaderCacheSource) != "" {
					return standin.Behaviour{Status: 503, NotRun: true}
				}
				return standin.Behaviour{Events: 40}
			}
			r := newRig(t, always(standin.Behaviour{Events: 40, Gap: 20 * time.Millisecond}), second)
			r.mover.copied = scenario.copied
			r.mover.stop = func() {
				r.gateway.Balancer.Pause(r.runnerEntry(0), longPause, time.Now())
				r.runners[0].ResetConnections()
			}
			go func() {
				r.awaitArrival(0)
				r.gateway.MoveStreams(r.runners[0].ID)
			}()
			got := r.send(scenario.path)
			r.c.Check(got.body == standin.Events(40), qt.Equals, scenario.whole)
			r.c.Check(got.broken || got.status == http.StatusBadGateway, qt.Equals, !scenario.whole)
			r.c.Check(r.arrivals(), qt.DeepEquals, scenario.arrivals)
		})
	}
}

// TestMoveWaitsForEndOfPause guards against the request to stop a run, which reaches the
// runner as well.
func TestMoveWaitsForEndOfPause(t *testing.T) {
	const pause = 200 * time.Millisecond
	r := newRig(t, always(standin.Behaviour{Events: 40, Gap: 20 * time.Millisecond}), always(standin.Behaviour{Events: 40}))
	stopped := make(chan time.Time, 1)
	r.mover.copied = true
	r.mover.stop = func() {
		stopped <- time.Now()
		r.runners[0].ResetConnections()
	}
	earliest := make(chan time.Time, 1)
	go func() {
		r.awaitArrival(0)
		now := time.Now()
		r.gateway.Balancer.Pause(r.runnerEntry(0), pause, now)
		earliest <- now.Add(pause)
		r.gateway.MoveStreams(r.runners[0].ID)
	}()
	r.c.Check(r.send("/single/a").body, qt.Equals, standin.Events(40))
	r.c.Check((<-stopped).Before(<-earliest), qt.IsFalse)
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{1, 1})
}

// runnerEntry returns the entry of a runner in the rig's inventory.
func (r *rig) runnerEntry(number int) inventory.Runner {
	runner := r.runners[number]
	return inventory.Runner{ID: runner.ID, Service: "desk", Address: runner.Address()}
}

// awaitArrival waits until a request has reached a runner.
func (r *rig) awaitArrival(number int) {
	for r.arrivals()[number] == 0 {
		time.Sleep(time.Millisecond)
	}
}
