package entry_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// TestStopAnswersRequestsOfSilentRunner guards against a stop that cuts off a request
// without an answer when the grace period is over.
func TestStopAnswersRequestsOfSilentRunner(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	runner := s.addRunner(func(standin.ReceivedRequest) standin.Behaviour {
		return standin.Behaviour{Silent: true}
	})
	s.awaitReady()
	stopping := s.daemons[0]
	replies := make(chan reply, 1)
	go func() { replies <- s.send(stopping, deskRoute+"a", "key-1") }()
	s.eventually("the request to arrive", 5*time.Second, func() bool { return len(runner.ReceivedRequests()) > 0 })
	stopping.cancel()
	s.c.Check(<-replies, qt.Equals, reply{status: http.StatusGatewayTimeout})
	<-stopping.entry.Done()
}

// TestStopWithoutStoreEndsWithinGrace guards against a grace period that is counted from
// the end of the duties, which takes longer while the store does not answer.
func TestStopWithoutStoreEndsWithinGrace(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	runner := s.addRunner(func(standin.ReceivedRequest) standin.Behaviour {
		return standin.Behaviour{Silent: true}
	})
	s.awaitReady()
	stopping := s.daemons[0]
	go s.send(stopping, deskRoute+"a", "key-1")
	s.eventually("the request to arrive", 5*time.Second, func() bool { return len(runner.ReceivedRequests()) > 0 })
	s.setStoreFault(stopping.settings.Name, standin.FaultSilent)
	began := time.Now()
	stopping.cancel()
	<-stopping.entry.Done()
	s.c.Check(time.Since(began) < stopping.settings.Bounds.StopGrace, qt.IsTrue)
}

// Guards against a stop that takes the whole grace period, since its parts add up to that: a request
// is cut, and the store does not take the last counts.
func TestStopWithCountsLeavesReserveOfGrace(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	silent := make(chan struct{}, 1)
	s.addRunner(func(received standin.ReceivedRequest) standin.Behaviour {
		select {
		case <-silent:
			return standin.Behaviour{Silent: true}
		default:
			return answerScript(received)
		}
	})
	s.awaitReady()
	stopping := s.daemons[0]
	s.c.Assert(s.sendMany(stopping, 1), qt.Equals, int64(1))
	silent <- struct{}{}
	replies := make(chan reply, 1)
	go func() { replies <- s.send(stopping, deskRoute+"a", "key-1") }()
	s.eventually("the request to arrive", 5*time.Second, func() bool { return len(silent) == 0 })
	s.setStoreFault(stopping.settings.Name, standin.FaultSilent)
	began := time.Now()
	stopping.cancel()
	s.c.Check(<-replies, qt.Equals, reply{status: http.StatusGatewayTimeout})
	<-stopping.entry.Done()
	took := time.Since(began)
	s.c.Check(took < stopping.settings.Bounds.StopGrace, qt.IsTrue, qt.Commentf("%v", took))
}
