package entry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// TestRunnerSaysItLeavesDuringStoreOutage guards against requests to a leaving runner
// whose record still says that it is ready, since the store can't be read or has it so.
func TestRunnerSaysItLeavesDuringStoreOutage(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	leaving := s.addRunner(func(standin.ReceivedRequest) standin.Behaviour {
		return standin.Behaviour{Body: "answer", Leaving: true}
	})
	staying := s.addRunner(answerScript)
	s.awaitReady()
	s.setStoreFault("", standin.FaultRefused)
	const requests = 20
	for range requests {
		s.c.Check(s.send(s.daemons[0], deskRoute+"a", "key-1").status, qt.Equals, 200)
	}
	s.setStoreFault("", standin.FaultNone)
	s.putRunner(leaving, false)
	time.Sleep(applyTime)
	for range requests {
		s.c.Check(s.send(s.daemons[0], deskRoute+"a", "key-1").status, qt.Equals, 200)
	}
	s.c.Check(len(leaving.ReceivedRequests()), qt.Equals, 1)
	s.c.Check(len(staying.ReceivedRequests()), qt.Equals, 2*requests-1)
}

// TestDaemonsTellEachOtherOfLeavingRunners guards against a daemon that uses a leaving
// runner because it has had no answer from it since, while the store can't be read.
func TestDaemonsTellEachOtherOfLeavingRunners(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	leaving := s.addRunner(func(standin.ReceivedRequest) standin.Behaviour {
		return standin.Behaviour{Body: "answer", Leaving: true}
	})
	s.addRunner(answerScript)
	s.awaitReady()
	s.setStoreFault("", standin.FaultRefused)
	s.c.Check(s.send(s.daemons[0], deskRoute+"a", "key-1").status, qt.Equals, 200)
	s.c.Assert(leaving.ReceivedRequests(), qt.HasLen, 1)
	time.Sleep(exchangeTime)
	for range 10 {
		s.c.Check(s.send(s.daemons[1], deskRoute+"a", "key-1").status, qt.Equals, 200)
	}
	s.c.Check(leaving.ReceivedRequests(), qt.HasLen, 1)
}

// exchangeTime is enough for a digest of each daemon to reach the others.
const exchangeTime = time.Second
