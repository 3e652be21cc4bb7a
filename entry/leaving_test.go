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

// TestLateHeartbeatDoesNotReviveLeavingRunner guards against requests to a runner that has
// said that it leaves, after the store has executed one of its earlier heartbeats late.
func TestLateHeartbeatDoesNotReviveLeavingRunner(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	leaving, staying := s.addRunner(answerScript), s.addRunner(answerScript)
	started := time.Now()
	heartbeat := func(sequence uint64, isLeaving bool) {
		s.c.Assert(s.store.PutRunner(standin.RunnerRecord{
			ID: leaving.ID, Service: "desk", Address: leaving.Address(), Zone: "zone-1",
			Leaving: isLeaving, StartedAt: started, Sequence: sequence,
		}), qt.IsNil)
	}
	heartbeat(1, false)
	s.awaitReady()
	heartbeat(5, true)
	time.Sleep(applyTime)
	before := len(leaving.ReceivedRequests())

	heartbeat(3, false)

	time.Sleep(applyTime)
	const requests = 20
	for range requests {
		s.c.Check(s.send(s.daemons[0], deskRoute+"a", "key-1").status, qt.Equals, 200)
	}
	s.c.Check(leaving.ReceivedRequests(), qt.HasLen, before)
	s.c.Check(len(staying.ReceivedRequests()) >= requests, qt.IsTrue)
}

// exchangeTime is enough for a digest of each daemon to reach the others.
const exchangeTime = time.Second
