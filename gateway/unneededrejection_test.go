package gateway_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// The first runner of these tests is silent until the second one has the request for 100 ms, and
// goes on then.
var (
	streamThatGoesOn = standin.Behaviour{Events: 2, Gap: 500 * time.Millisecond}
	answerThatComes  = standin.Behaviour{Body: "answer", Gap: 500 * time.Millisecond}
)

// soonAfterRelease is when the second runner rejects the request: after the first one has gone on
// and long before the rejection is awaited no more, so that other work does not delay it beyond that.
const soonAfterRelease = 115 * time.Millisecond

// Guards against requests that reach a runner within the time of its Retry-After, since the attempt
// that it had turned away was not needed any more and nobody read its answer.
func TestRejectionOfUnneededReplacementIsHeeded(t *testing.T) {
	for _, scenario := range []struct {
		name, path string
		first      standin.Behaviour
		rejection  standin.Behaviour
	}{
		{"the stream goes on", "/resumable/a", streamThatGoesOn, standin.Behaviour{Status: 503, NotRun: true, RetryAfter: longPause, Gap: soonAfterRelease}},
		{"the request has ended", "/again/a", answerThatComes, standin.Behaviour{Status: 503, NotRun: true, RetryAfter: longPause, Gap: soonAfterRelease}},
		{"not said to be not run", "/again/a", answerThatComes, standin.Behaviour{Status: 503, RetryAfter: longPause, Gap: soonAfterRelease}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, always(scenario.first), always(scenario.rejection))
			r.c.Check(r.send(scenario.path).status, qt.Equals, http.StatusOK)
			time.Sleep(100 * time.Millisecond)
			r.gateway.Balancer.Pause(r.runnerEntry(0), longPause, time.Now())
			for _, got := range r.sendMany("/stream/a", 4) {
				r.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
			}
			r.c.Check(r.arrivals(), qt.DeepEquals, []int{1, 1})
			r.c.Check(r.gateway.Balancer.Load("desk", time.Now()).Requests, qt.Equals, 0)
		})
	}
}

// heldFor returns how long the second runner worked on its first request, at most a second.
func heldFor(r *rig) time.Duration {
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(time.Millisecond) {
		if got := r.runners[1].ReceivedRequests()[0]; !got.DisconnectedAt.IsZero() {
			return got.DisconnectedAt.Sub(got.ReceivedAt)
		}
	}
	return time.Second
}

// Guards against runners that go on with a request that another one answers, while its rejection is
// awaited.
func TestUnneededReplacementIsStoppedSoon(t *testing.T) {
	for _, scenario := range []struct {
		name, path    string
		first, second standin.Behaviour
		most          time.Duration
	}{
		{"stream without an answer", "/resumable/a", streamThatGoesOn, standin.Behaviour{Silent: true}, 350 * time.Millisecond},
		{"plain request without an answer", "/again/a", answerThatComes, standin.Behaviour{Silent: true}, 350 * time.Millisecond},
		{"stream with an answer that is none", "/resumable/a", streamThatGoesOn, standin.Behaviour{Status: 404, Body: "answer", StallAfter: 1, Gap: 130 * time.Millisecond}, 210 * time.Millisecond},
		{"plain answer that has begun", "/again/a", answerThatComes, standin.Behaviour{Body: "answer", StallAfter: 1, Gap: 130 * time.Millisecond}, 210 * time.Millisecond},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, always(scenario.first), always(scenario.second))
			r.c.Check(r.send(scenario.path).status, qt.Equals, http.StatusOK)
			held := heldFor(r)
			r.c.Check(held < scenario.most, qt.IsTrue, qt.Commentf("%v", held))
		})
	}
}

// Guards against runners that go on with a request whose caller has left, while its rejection is
// awaited.
func TestUnneededReplacementEndsWithItsCaller(t *testing.T) {
	r := newRig(t, always(streamThatGoesOn), always(standin.Behaviour{Silent: true}))
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	response, err := http.DefaultClient.Do(r.request(ctx, "/resumable/a"))
	r.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	_, err = response.Body.Read(make([]byte, 1))
	r.c.Assert(err, qt.IsNil)
	leave()
	held := heldFor(r)
	r.c.Check(held < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", held))
}
