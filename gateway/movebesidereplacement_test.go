package gateway_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// TestMoveIsTriedAfterAnUnneededReplacement guards against streams that stay at a leaving
// runner until it ends because another runner was asked beside it when they were to be moved.
func TestMoveIsTriedAfterAnUnneededReplacement(t *testing.T) {
	other := func(arrival standin.ReceivedRequest) standin.Behaviour {
		if arrival.Header.Get(standin.HeaderCacheSource) != "" {
			return standin.Behaviour{Events: 5}
		}
		return standin.Behaviour{Status: 503, NotRun: true, Gap: 200 * time.Millisecond}
	}
	r := newRig(t, always(standin.Behaviour{Events: 5, Gap: 500 * time.Millisecond}), other, other)
	r.mover.copied = true
	r.mover.stop = r.runners[0].ResetConnections
	go func() {
		for arrivals := r.arrivals(); arrivals[1]+arrivals[2] == 0; arrivals = r.arrivals() {
			time.Sleep(time.Millisecond)
		}
		r.gateway.MoveStreams(r.runners[0].ID)
	}()
	got := r.send("/resumable/a", with(standin.HeaderDeadline, "3000"))
	r.c.Check(got.body, qt.Equals, standin.Events(5))
	r.c.Check(r.mover.stopCount(), qt.Equals, 1)
	r.c.Check(r.arrivals()[0], qt.Equals, 1)
}
