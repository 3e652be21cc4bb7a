package gateway_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// TestFailureOfARunnerIsDeliveredIfTheOthersAreLimited guards against the answer of a runner being
// replaced by an error of the daemon, since the request could not be sent to another runner.
func TestFailureOfARunnerIsDeliveredIfTheOthersAreLimited(t *testing.T) {
	r := newRig(t,
		func(standin.ReceivedRequest) standin.Behaviour {
			return standin.Behaviour{Status: http.StatusInternalServerError, Body: "fault"}
		},
		func(standin.ReceivedRequest) standin.Behaviour {
			return standin.Behaviour{Body: "answer", Limits: []string{"0.1"}}
		})
	r.c.Check(r.send("/again/a").status, qt.Equals, http.StatusOK)
	got := r.send("/again/a")
	r.c.Check(got.status, qt.Equals, http.StatusInternalServerError)
	r.c.Check(got.body, qt.Equals, "fault")
	r.c.Check(len(r.runners[1].ReceivedRequests()), qt.Equals, 1)
}

// TestLimitOfOneAnswerOnly guards against limits that are taken from answers which say nothing of
// the runner: one to another request.
func TestLimitOfOneAnswerOnly(t *testing.T) {
	first := true
	r := newRig(t, func(standin.ReceivedRequest) standin.Behaviour {
		defer func() { first = false }()
		if first {
			return standin.Behaviour{Body: "answer", RequestID: "another", Limits: []string{"0.1"}}
		}
		return standin.Behaviour{Body: "answer"}
	})
	r.send("/once/a")
	time.Sleep(10 * time.Millisecond)
	for range 3 {
		r.c.Check(r.send("/once/a").status, qt.Equals, http.StatusOK)
	}
}
