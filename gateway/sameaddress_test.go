package gateway_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// replacedAtAddress lists an earlier runner at the address of the first one, beside it and before it.
func (r *rig) replacedAtAddress() {
	var entries []inventory.Runner
	for _, runner := range r.runners {
		entries = append(entries, inventory.Runner{ID: runner.ID, Service: "desk", Address: runner.Address(), Zone: "zone-2", Slots: 6})
	}
	earlier := entries[0]
	earlier.ID, earlier.Zone = "i-earlier", "zone-1"
	r.gateway.Balancer.SetRunners(append(entries, earlier), func(string) int { return 0 })
}

// Guards against requests that run although they were refused as not run: the runner that has taken
// over an address turns a request away that was for the runner before, gets it in its own name on
// the same connection, and writes the refusal once more, which names the request.
func TestRefusalForEarlierRunnerAtAddressIsNoProof(t *testing.T) {
	for name, place := range map[string]standin.RepeatPlace{
		"instead of the answer": standin.InsteadOfResponse, "before the answer": standin.BeforeResponse,
	} {
		for _, path := range []string{"/once/a", "/stream/a"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				repeat := standin.Repeat{Of: standin.Rejection, Place: place}
				r := newRig(t, always(standin.Behaviour{Body: "answer", Repeat: repeat}))
				r.replacedAtAddress()
				got := r.send(path, with(standin.HeaderDeadline, "500"))
				received := r.runners[0].ReceivedRequests()
				r.c.Assert(len(received) >= 2, qt.IsTrue)
				r.c.Assert(received[0].Header.Get(standin.HeaderExpectedRunner), qt.Equals, "i-earlier")
				r.c.Check(r.timesRun("attempt-1"), qt.Equals, 1)
				r.c.Check(isPromise(got.status), qt.IsFalse, qt.Commentf("status %d", got.status))
			})
		}
	}
}

// Guards against requests that run twice in the same case, if another runner is left.
func TestRequestRunsOnceAfterRefusalForEarlierRunner(t *testing.T) {
	repeat := standin.Repeat{Of: standin.Rejection, Place: standin.BeforeResponse}
	r := newRig(t, always(standin.Behaviour{Body: "answer", Repeat: repeat}), always(okAnswer))
	r.replacedAtAddress()
	got := r.send("/once/a", with(standin.HeaderDeadline, "500"))
	r.c.Check(r.timesRun("attempt-1"), qt.Equals, 1)
	r.c.Check(got.status, qt.Equals, http.StatusOK)
}
