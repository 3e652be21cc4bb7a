package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

const (
	// dropAfter is how long the runners keep idle connections.
	dropAfter = 100 * time.Millisecond
	// longIdle is an idle time after which they have dropped them.
	longIdle = 150 * time.Millisecond
)

// newDroppingRig returns a rig with two runners that drop idle connections without
// notice. Each of them has an idle connection.
func newDroppingRig(t *testing.T) *rig {
	reject := standin.Behaviour{Status: http.StatusServiceUnavailable, NotRun: true}
	r := newRig(t, inTurn(reject, okAnswer), always(okAnswer))
	for _, runner := range r.runners {
		runner.DropIdleAfter(dropAfter)
	}
	r.c.Assert(r.send("/once/a").status, qt.Equals, http.StatusOK)
	r.c.Assert(r.arrivals(), qt.DeepEquals, []int{1, 1})
	return r
}

// TestResetsOfStaleConnectionsAreNotRepeated guards against requests that may not be
// repeated being sent on stale connections although one has just been reset.
func TestResetsOfStaleConnectionsAreNotRepeated(t *testing.T) {
	r := newDroppingRig(t)
	failed := 0
	for i := range 6 {
		time.Sleep(longIdle)
		got := r.send("/once/a", with(standin.HeaderCallID, fmt.Sprint("call-", i)))
		if got.status != http.StatusOK {
			failed++
		}
	}
	r.c.Check(failed <= 1, qt.IsTrue, qt.Commentf("%d requests failed", failed))
}

// TestRetryAfterStaleConnectionUsesFreshOne guards against the retry of a reset request
// being sent on another stale connection.
func TestRetryAfterStaleConnectionUsesFreshOne(t *testing.T) {
	r := newDroppingRig(t)
	time.Sleep(longIdle)
	got := r.send("/again/a", with(standin.HeaderCallID, "call-1"))
	r.c.Check(got.status, qt.Equals, http.StatusOK)
	r.c.Check(got.body, qt.Equals, "answer")
}

// TestStaleConnectionDoesNotRuleOutItsRunner guards against the retry of a reset request
// finding no runner, although its runner was not reached and accepts new connections.
func TestStaleConnectionDoesNotRuleOutItsRunner(t *testing.T) {
	r := newRig(t, always(okAnswer))
	r.runners[0].DropIdleAfter(dropAfter)
	r.c.Assert(r.send("/again/a").status, qt.Equals, http.StatusOK)
	time.Sleep(longIdle)
	got := r.send("/again/a", with(standin.HeaderCallID, "call-1"))
	r.c.Check(got.status, qt.Equals, http.StatusOK)
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{2})
}
