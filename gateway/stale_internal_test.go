package gateway

import (
	"context"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// TestStaleConnectionDoesNotCountAgainstItsRunner guards against a runner that dropped an
// idle connection being avoided as if it had failed.
func TestStaleConnectionDoesNotCountAgainstItsRunner(t *testing.T) {
	for _, scenario := range []struct {
		name  string
		stale bool
		want  balance.Result
	}{
		{"stale", true, balance.Cancelled},
		{"not stale", false, balance.Failed},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			x := &exchange{ctx: context.Background()}
			failure := &upstream.InvalidAnswerError{Address: "a", Reused: true, Stale: scenario.stale, Cause: syscall.ECONNRESET}
			c.Check(x.resultOf(&attempt{}, failure), qt.Equals, scenario.want)
		})
	}
}
