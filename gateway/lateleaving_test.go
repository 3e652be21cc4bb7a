package gateway_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// TestStreamMovesWhenItsRunnerLeftAsItWasChosen guards against streams that stay at a
// leaving runner because they were chosen but not yet registered when it said so.
func TestStreamMovesWhenItsRunnerLeftAsItWasChosen(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Events: 40, Gap: 20 * time.Millisecond}), always(standin.Behaviour{Events: 40}))
	r.mover.copied = true
	r.mover.stop = r.runners[0].ResetConnections
	leave := sync.OnceFunc(func() {
		r.gateway.Balancer.MarkLeaving(r.runnerEntry(0))
		r.gateway.MoveStreams(r.runners[0].ID)
	})
	r.gateway.Log = funcr.New(func(_, line string) {
		if strings.Contains(line, "RunnerChosen") {
			leave()
		}
	}, funcr.Options{Verbosity: 1})
	r.c.Check(r.send("/single/a").body, qt.Equals, standin.Events(40))
	r.c.Check(r.arrivals(), qt.DeepEquals, []int{1, 1})
	r.c.Check(r.mover.stopCount(), qt.Equals, 1)
}
