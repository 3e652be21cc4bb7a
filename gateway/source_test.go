package gateway_test

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// TestStreamDoesNotReturnToRunnerThatLeftLongAgo guards against a stream that is sent back to the
// runner that it was moved away from, long after that has said that it leaves, although another
// runner can take it up.
func TestStreamDoesNotReturnToRunnerThatLeftLongAgo(t *testing.T) {
	const events = 60
	for name, second := range map[string]standin.Behaviour{
		"its new runner rejects it":   {Status: 503, NotRun: true},
		"its new runner says nothing": {Silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			moved := func(arrival standin.ReceivedRequest) standin.Behaviour {
				if arrival.Header.Get(standin.HeaderCacheSource) == "" {
					return standin.Behaviour{Events: events}
				}
				time.Sleep(rigReturnTime)
				return second
			}
			r := newRig(t, always(standin.Behaviour{Events: events, Gap: 20 * time.Millisecond}), moved, moved)
			r.mover.copied = true
			var once sync.Once
			r.mover.stop = func() { once.Do(r.runners[0].ResetConnections) }
			go func() {
				for len(r.runners[0].ReceivedRequests()) == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
				r.gateway.Balancer.MarkLeaving(inventory.Runner{ID: r.runners[0].ID, Service: "desk", Address: r.runners[0].Address()})
				r.gateway.MoveStreams(r.runners[0].ID)
			}()
			got := r.send("/resumable/a", with(standin.HeaderDeadline, "9000"))
			r.c.Check(got.broken, qt.IsFalse)
			r.c.Check(got.body, qt.Equals, standin.Events(events))
			r.c.Check(r.arrivals()[0], qt.Equals, 1, qt.Commentf("the runner that leaves"))
		})
	}
}
