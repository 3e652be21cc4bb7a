package gateway_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// kibibyte is a text of one KiB.
var kibibyte = strings.Repeat("x", 1<<10)

// setBudget bounds the bytes of answers that the gateway holds.
func (r *rig) setBudget(limitBytes int) *buffer.Budget {
	options := upstream.DefaultOptions()
	options.Budget = buffer.New(buffer.Options{LimitBytes: limitBytes, FreeBytes: buffer.DefaultOptions().FreeBytes})
	r.gateway.Upstream = upstream.New(telemetry.NewCommon(), options)
	return options.Budget
}

// awaitNoHeldBytes checks that no bytes stay counted. Those of an answer are counted until the
// daemon has written it, which may be after its caller has read it.
func (r *rig) awaitNoHeldBytes(budget *buffer.Budget) {
	deadline := time.Now().Add(5 * time.Second)
	for budget.HeldBytes() != 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	r.c.Check(budget.HeldBytes(), qt.Equals, 0)
}

// TestEndlessBodiesLeaveRoomForAnswers guards against answers that fail because other
// runners send bodies without end, and against bytes that stay counted.
func TestEndlessBodiesLeaveRoomForAnswers(t *testing.T) {
	const requests = 2 * rigSlots
	answer := standin.Behaviour{Body: strings.Repeat(kibibyte, 60), Gap: 100 * time.Millisecond}
	endless := standin.Behaviour{Unframed: true, Endless: standin.Endless{Content: strings.Repeat(kibibyte, 16), Pause: time.Millisecond}}
	r := newRig(t, func(request standin.ReceivedRequest) standin.Behaviour {
		if request.Target == "/once/sound" {
			return answer
		}
		return endless
	})
	budget := r.setBudget(2 << 20)
	failed := make(chan []reply)
	go func() { failed <- r.sendMany("/once/endless", requests) }()
	for _, got := range r.sendMany("/once/sound", requests) {
		r.c.Check(got.status, qt.Equals, 200)
		r.c.Check(len(got.body), qt.Equals, len(answer.Body))
	}
	for _, got := range <-failed {
		r.c.Check(got.status, qt.Equals, 502)
		r.c.Check(got.body, qt.Equals, "")
	}
	r.awaitNoHeldBytes(budget)
}

// TestTooLongBodyFailsAtOnce guards against requests that wait for a body whose announced
// length is above the limit.
func TestTooLongBodyFailsAtOnce(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Body: strings.Repeat(kibibyte, 9<<10), StallAfter: 3}))
	r.c.Check(r.send("/once/a").status, qt.Equals, 502)
}

// TestBytesAfterTheAnswerAreNotRead guards against a connection that is read on, or used
// again, while its runner sends bytes without end after a complete answer.
func TestBytesAfterTheAnswerAreNotRead(t *testing.T) {
	for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
		t.Run("pause "+pause.String(), func(t *testing.T) {
			endless := standin.Behaviour{Body: "answer", Endless: standin.Endless{Content: kibibyte, Pause: pause}}
			r := newRig(t, inTurn(endless, okAnswer))
			r.c.Check(r.send("/once/a").body, qt.Equals, "answer")
			time.Sleep(20 * time.Millisecond)
			r.c.Check(r.send("/once/a").body, qt.Equals, "answer")
			r.c.Check(r.runners[0].AcceptedConnections(), qt.Equals, 2)
			for began := time.Now(); r.runners[0].ReceivedRequests()[0].DisconnectedAt.IsZero(); time.Sleep(time.Millisecond) {
				r.c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue, qt.Commentf("the connection stays open"))
			}
		})
	}
}
