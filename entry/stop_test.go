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
