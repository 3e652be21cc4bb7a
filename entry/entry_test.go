package entry_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// applyTime is the platform's limit for applying a configuration and for no longer
// using a runner that is leaving.
const applyTime = 2 * time.Second

// setStoreFault injects a fault into the calls that the store receives from one
// machine, or from all machines if machine is empty.
func (s *testSystem) setStoreFault(machine string, fault standin.Fault) {
	s.store.SetFault(func(call standin.Call) standin.Fault {
		if machine == "" || call.Caller == machine {
			return fault
		}
		return standin.FaultNone
	})
}

func TestRequestsOfEveryKind(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	s.addRunner(func(arrival standin.ReceivedRequest) standin.Behaviour {
		if arrival.Target == talkRoute+"a" {
			return standin.Behaviour{Events: 5}
		}
		return standin.Behaviour{Body: "answer"}
	})
	s.awaitReady()
	for _, d := range s.daemons {
		s.c.Check(s.send(d, deskRoute+"a", "key-1"), qt.Equals, reply{status: 200, body: "answer"})
		s.c.Check(s.send(d, readRoute+"a", "key-2"), qt.Equals, reply{status: 200, body: "answer"})
		s.c.Check(s.send(d, talkRoute+"a", "key-1"), qt.Equals, reply{status: 200, body: standin.Events(5)})
		s.c.Check(s.send(d, deskRoute+"a", "none").status, qt.Equals, http.StatusUnauthorized)
		s.c.Check(s.send(d, "/none/a", "key-1").status, qt.Equals, http.StatusNotFound)
	}
}

// TestDaemonWithoutStoreAppliesChanges guards against a daemon that misses a revoked
// key or a runner's leaving while the store fails for this daemon alone.
func TestDaemonWithoutStoreAppliesChanges(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]standin.Fault{"silent": standin.FaultSilent, "busy": standin.FaultRefused, "reset": standin.FaultReset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestSystem(t, 3)
			leaving, staying := s.addRunner(answerScript), s.addRunner(answerScript)
			s.awaitReady()
			isolated := s.daemons[2]
			s.setStoreFault("entry-2", fault)
			time.Sleep(time.Second)
			s.keys = s.keys[:1]
			s.configure()
			s.putRunner(leaving, true)
			changed := time.Now()
			s.eventually("the key is revoked", applyTime, func() bool {
				return s.send(isolated, deskRoute+"a", "key-2").status == http.StatusUnauthorized
			})
			time.Sleep(time.Until(changed.Add(applyTime)))
			before, served := len(leaving.ReceivedRequests()), len(staying.ReceivedRequests())
			for range 10 {
				s.c.Check(s.send(isolated, deskRoute+"a", "key-1").status, qt.Equals, 200)
			}
			s.c.Check(len(leaving.ReceivedRequests()), qt.Equals, before)
			s.c.Check(len(staying.ReceivedRequests()), qt.Equals, served+10)
		})
	}
}

func TestRequestsAreServedWithoutStore(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	s.addRunner(answerScript)
	s.awaitReady()
	s.setStoreFault("", standin.FaultSilent)
	time.Sleep(2500 * time.Millisecond)
	for _, d := range s.daemons {
		s.c.Check(s.isReady(d), qt.IsTrue)
		s.c.Check(s.send(d, deskRoute+"a", "key-1").status, qt.Equals, 200)
	}
}

// TestRunnersExpiredDuringStoreOutageAreKept guards against losing runners whose
// records expired during an outage of the store: they write their records again one
// second after its end.
func TestRunnersExpiredDuringStoreOutageAreKept(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	runner := s.addRunner(answerScript)
	s.awaitReady()
	s.setStoreFault("", standin.FaultRefused)
	time.Sleep(2500 * time.Millisecond)
	s.store.DeleteRunner(runner.ID)
	s.setStoreFault("", standin.FaultNone)
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		s.c.Check(s.send(s.daemons[0], deskRoute+"a", "key-1").status, qt.Equals, 200)
	}
	s.putRunner(runner, false)
	time.Sleep(2 * time.Second)
	s.c.Check(s.send(s.daemons[0], deskRoute+"a", "key-1").status, qt.Equals, 200)
}

func TestStoreWithCompactedHistory(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	s.addRunner(answerScript)
	s.awaitReady()
	s.setStoreFault("", standin.FaultRefused)
	s.keys = s.keys[:1]
	s.configure()
	s.store.DeleteHistory(standin.TopicConfiguration)
	s.store.DeleteHistory(standin.TopicRunners)
	s.setStoreFault("", standin.FaultNone)
	for _, d := range s.daemons {
		s.eventually("the newest configuration", applyTime, func() bool {
			return s.send(d, deskRoute+"a", "key-2").status == http.StatusUnauthorized
		})
		s.c.Check(s.send(d, deskRoute+"a", "key-1").status, qt.Equals, 200)
	}
}

func TestWrongRunnerAtAddressDoesNotRunRequests(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	first := s.addRunner(answerScript)
	s.awaitReady()
	s.c.Assert(s.send(s.daemons[0], deskRoute+"a", "key-1").status, qt.Equals, 200)
	other, err := standin.NewRunner("i-other", answerScript)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(other.Close)
	s.c.Assert(s.store.PutRunner(standin.RunnerRecord{
		ID: first.ID, Service: "desk", Address: other.Address(), Zone: "zone-1",
	}), qt.IsNil)
	s.eventually("the runner's new address", applyTime, func() bool {
		return len(other.ReceivedRequests()) > 0 || s.send(s.daemons[0], deskRoute+"a", "key-1").status != 200
	})
	for _, arrival := range other.ReceivedRequests() {
		s.c.Check(arrival.Ran, qt.IsFalse)
	}
}

func TestQuotaHoldsAcrossDaemons(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 3)
	s.addRunner(answerScript)
	s.rateLimit = 20
	s.configure()
	s.awaitReady()
	began, granted := time.Now(), 0
	for time.Since(began) < 4*time.Second {
		for _, d := range s.daemons {
			if s.send(d, deskRoute+"a", "key-1").status == 200 {
				granted++
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	allowed := 1.1 * float64(20*4+20)
	s.c.Check(float64(granted) <= allowed+20, qt.IsTrue, qt.Commentf("%d granted, %v allowed", granted, allowed))
	s.c.Check(granted >= 60, qt.IsTrue, qt.Commentf("%d", granted))
}

// TestUsageIsReportedOnce guards against lost or doubled usage reports when a daemon
// stops and a response of the cloud is lost.
func TestUsageIsReportedOnce(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 3)
	s.addRunner(answerScript)
	s.awaitReady()
	s.cloud.LoseResponses(1)
	sent := 0
	for i := range 30 {
		s.c.Assert(s.send(s.daemons[i%3], deskRoute+"a", "key-1").status, qt.Equals, 200)
		sent++
	}
	s.daemons[0].cancel()
	<-s.daemons[0].entry.Done()
	counted := func() int64 {
		total := int64(0)
		for _, counts := range s.windows() {
			total += counts["library"]
		}
		return total
	}
	s.eventually("all requests are reported", 10*time.Second, func() bool { return counted() == int64(sent) })
}

// windows returns the counts of each usage window that the cloud has accepted.
// Reports for the same window must not differ.
func (s *testSystem) windows() map[int64]map[string]int64 {
	windows := make(map[int64]map[string]int64)
	for _, report := range s.cloud.Reports() {
		if earlier, repeated := windows[report.Window]; repeated {
			s.c.Assert(report.Counts, qt.DeepEquals, earlier)
		}
		windows[report.Window] = report.Counts
	}
	return windows
}

// TestPlannedStopLosesNothing stops a daemon during a stream, and sends it requests
// until the platform would have stopped routing to it.
func TestPlannedStopLosesNothing(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	s.addRunner(func(arrival standin.ReceivedRequest) standin.Behaviour {
		if arrival.Target == talkRoute+"a" {
			return standin.Behaviour{Events: 20, Gap: 60 * time.Millisecond}
		}
		return standin.Behaviour{Body: "answer"}
	})
	s.awaitReady()
	stopping := s.daemons[0]
	streamed := make(chan reply, 1)
	go func() { streamed <- s.send(stopping, talkRoute+"a", "key-1") }()
	time.Sleep(200 * time.Millisecond)
	stopping.cancel()
	time.Sleep(50 * time.Millisecond)
	s.c.Check(s.isReady(stopping), qt.IsFalse)
	for range 5 {
		s.c.Check(s.send(stopping, deskRoute+"a", "key-1").status, qt.Equals, 200)
		time.Sleep(100 * time.Millisecond)
	}
	s.c.Check(<-streamed, qt.Equals, reply{status: 200, body: standin.Events(20)})
	<-stopping.entry.Done()
}

// TestDaemonStartsWithoutStore covers a daemon that can't reach the store when it
// starts: it learns the configuration and the runners from its peers.
func TestDaemonStartsWithoutStore(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	s.addRunner(answerScript)
	s.awaitReady()
	s.setStoreFault("entry-1", standin.FaultSilent)
	late := s.start(1)
	late.cancel()
	<-late.entry.Done()
	s.run(late)
	s.eventually("ready", 5*time.Second, func() bool { return s.isReady(late) })
	s.c.Check(s.send(late, deskRoute+"a", "key-1").status, qt.Equals, 200)
}
