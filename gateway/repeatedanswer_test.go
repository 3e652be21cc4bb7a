package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// timesRun returns how often the runners have run a request.
func (r *rig) timesRun(id string) int {
	count := 0
	for _, runner := range r.runners {
		for _, received := range runner.ReceivedRequests() {
			if received.Ran && received.Header.Get(standin.HeaderCallID) == id {
				count++
			}
		}
	}
	return count
}

// isPromise reports whether a status says that a request has not run and will not.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Guards against requests that run although they were refused as not run, or that run twice: a
// runner writes an earlier refusal once more on a kept connection while it runs the next request.
func TestRepeatedRefusalIsNoProof(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		for _, scenario := range []struct {
			name   string
			repeat standin.Repeat
			gap    time.Duration
		}{
			{"before the answer", standin.Repeat{Of: standin.Rejection, Place: standin.BeforeResponse}, 30 * time.Millisecond},
			{"before the answer without an ID", standin.Repeat{Of: standin.Rejection, Place: standin.BeforeResponse, ID: standin.WithoutID}, 30 * time.Millisecond},
			{"instead of the answer", standin.Repeat{Of: standin.Rejection, Place: standin.InsteadOfResponse}, 0},
			{"instead of the answer without an ID", standin.Repeat{Of: standin.Rejection, Place: standin.InsteadOfResponse, ID: standin.WithoutID}, 0},
		} {
			for _, path := range []string{"/once/a", "/stream/a"} {
				t.Run(fmt.Sprint(status, " ", scenario.name, " ", path), func(t *testing.T) {
					t.Parallel()
					refusal := standin.Behaviour{Status: status, NotRun: true}
					repeats := standin.Behaviour{Body: "answer", Gap: scenario.gap, Repeat: scenario.repeat}
					r := newRig(t, inTurn(refusal, repeats), inTurn(okAnswer, refusal, okAnswer))
					r.send(path, with(standin.HeaderCallID, "attempt-0"))
					got := r.send(path, with(standin.HeaderCallID, "attempt-1"), with(standin.HeaderDeadline, "400"))
					time.Sleep(2 * scenario.gap)
					r.c.Assert(r.runners[0].ReceivedRequests()[1].Repeated, qt.IsTrue)
					r.c.Check(r.timesRun("attempt-1"), qt.Equals, 1)
					r.c.Check(isPromise(got.status), qt.IsFalse, qt.Commentf("status %d", got.status))
				})
			}
		}
	}
}

// Guards against the same with the status 421, which needs no other sign that a request was not
// run. Its runner is asked nothing more afterwards, so that nothing is repeated.
func TestMisdirectedStatusForOtherRequestIsNoProof(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Status: http.StatusMisdirectedRequest, RequestID: "attempt-0"}), always(okAnswer))
	got := r.send("/once/a", with(standin.HeaderDeadline, "400"))
	r.c.Check(r.timesRun("attempt-1"), qt.Equals, 1)
	r.c.Check(got.status, qt.Equals, http.StatusGatewayTimeout)
}

// Guards against answers that reach the next request: the connection on which a repeated refusal
// was taken for the answer goes back to the pool, and the real answer follows on it.
func TestConnectionIsNotReusedAfterRepeatedRefusal(t *testing.T) {
	refusal := standin.Behaviour{Status: 503, NotRun: true}
	repeat := standin.Repeat{Of: standin.Rejection, Place: standin.BeforeResponse}
	r := newRig(t, inTurn(refusal, standin.Behaviour{Body: "second", Gap: 50 * time.Millisecond, Repeat: repeat}, standin.Behaviour{Body: "third", Gap: 80 * time.Millisecond}))
	r.send("/once/a", with(standin.HeaderCallID, "attempt-0"))
	r.send("/once/a", with(standin.HeaderCallID, "attempt-1"))
	got := r.send("/once/a", with(standin.HeaderCallID, "attempt-2"))
	r.c.Check(got.status, qt.Equals, http.StatusOK)
	r.c.Check(got.body, qt.Equals, "third")
}

// Guards against requests that fail although their runner answers them: an answer to an earlier
// request, written once more on the connection, is taken for a broken one of theirs.
func TestOwnAnswerAfterRepeatedOneReachesCaller(t *testing.T) {
	repeated := map[string]standin.Behaviour{
		"rejection": {Status: 503, NotRun: true, Body: "full"},
		"success":   {Body: "first"},
		"failure":   {Status: 500, Body: "error"},
	}
	kinds := map[string]standin.ResponseKind{"rejection": standin.Rejection, "success": standin.Success, "failure": standin.Failure}
	for name, earlier := range repeated {
		for _, path := range []string{"/once/a", "/again/a", "/stream/a"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				repeat := standin.Repeat{Of: kinds[name], Place: standin.BeforeResponse}
				second := standin.Behaviour{Body: "second", Gap: 30 * time.Millisecond, Repeat: repeat}
				want := "second"
				if path == "/stream/a" {
					second.Body, second.Events, want = "", 3, standin.Events(3)
				}
				r := newRig(t, inTurn(earlier, second))
				r.send("/once/a", with(standin.HeaderCallID, "attempt-0"))
				got := r.send(path, with(standin.HeaderCallID, "attempt-1"))
				r.c.Assert(r.runners[0].ReceivedRequests()[1].Repeated, qt.IsTrue)
				r.c.Check(got.status, qt.Equals, http.StatusOK)
				r.c.Check(got.body, qt.Equals, want)
				r.c.Check(got.header.Get(standin.HeaderCallID), qt.Equals, "attempt-1")
				r.c.Check(got.broken, qt.IsFalse)
			})
		}
	}
}

// Guards against a connection that carries a further request after its runner has written answers
// to other requests on it.
func TestConnectionIsNotReusedAfterRepeatedAnswer(t *testing.T) {
	repeat := standin.Repeat{Of: standin.Success, Place: standin.BeforeResponse}
	r := newRig(t, inTurn(okAnswer, standin.Behaviour{Body: "second", Repeat: repeat}, okAnswer))
	for i := range 3 {
		got := r.send("/once/a", with(standin.HeaderCallID, fmt.Sprint("attempt-", i)))
		r.c.Check(got.status, qt.Equals, http.StatusOK)
	}
	r.c.Check(r.runners[0].AcceptedConnections(), qt.Equals, 2)
}

// Guards against a runner that gets no requests since another process, which has its address now,
// says that it leaves.
func TestMisdirectedAnswerSaysNothingOfIntendedRunner(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Status: http.StatusMisdirectedRequest, Leaving: true}), always(okAnswer))
	r.c.Check(r.send("/once/a").status, qt.Equals, http.StatusOK)
	intended := inventory.Runner{ID: "i-a", Service: "desk", Address: r.runners[0].Address(), Zone: "zone-1", Slots: 6}
	r.c.Check(r.gateway.Balancer.IsLeaving(intended), qt.IsFalse)
}
