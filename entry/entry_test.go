package entry_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// applyTime is the platform's bound for a configuration and for a runner's
// leaving.
const applyTime = 2 * time.Second

// turnAway makes the store silent or refuse for one machine.
func (s *site) turnAway(machine string, fault standin.Fault) {
	s.store.SetFault(func(call standin.Call) standin.Fault {
		if machine == "" || call.Machine == machine {
			return fault
		}
		return standin.None
	})
}

func TestRequestsOfEveryKind(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	s.addRunner(func(arrival standin.Arrival) standin.Behaviour {
		if arrival.Target == talkRoute+"a" {
			return standin.Behaviour{Events: 5}
		}
		return standin.Behaviour{Body: "answer"}
	})
	s.ready()
	for _, d := range s.daemons {
		s.c.Check(s.send(d, deskRoute+"a", "key-1"), qt.Equals, reply{status: 200, body: "answer"})
		s.c.Check(s.send(d, readRoute+"a", "key-2"), qt.Equals, reply{status: 200, body: "answer"})
		s.c.Check(s.send(d, talkRoute+"a", "key-1"), qt.Equals, reply{status: 200, body: standin.Events(5)})
		s.c.Check(s.send(d, deskRoute+"a", "none").status, qt.Equals, http.StatusUnauthorized)
		s.c.Check(s.send(d, "/none/a", "key-1").status, qt.Equals, http.StatusNotFound)
	}
}

// TestMachineThatTheStoreTurnsAway is one daemon that the store does not serve
// while a key is taken away and a runner leaves.
func TestMachineThatTheStoreTurnsAway(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]standin.Fault{"silent": standin.Silent, "busy": standin.Refused, "reset": standin.Reset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 3)
			leaving, staying := s.addRunner(answering), s.addRunner(answering)
			s.ready()
			away := s.daemons[2]
			s.turnAway("entry-2", fault)
			time.Sleep(time.Second)
			s.keys = s.keys[:1]
			s.configure()
			s.describe(leaving, true)
			changed := time.Now()
			s.eventually("the key is taken away", applyTime, func() bool {
				return s.send(away, deskRoute+"a", "key-2").status == http.StatusUnauthorized
			})
			time.Sleep(time.Until(changed.Add(applyTime)))
			before, served := len(leaving.Arrivals()), len(staying.Arrivals())
			for range 10 {
				s.c.Check(s.send(away, deskRoute+"a", "key-1").status, qt.Equals, 200)
			}
			s.c.Check(len(leaving.Arrivals()), qt.Equals, before)
			s.c.Check(len(staying.Arrivals()), qt.Equals, served+10)
		})
	}
}

func TestServiceGoesOnWithoutTheStore(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	s.addRunner(answering)
	s.ready()
	s.turnAway("", standin.Silent)
	time.Sleep(2500 * time.Millisecond)
	for _, d := range s.daemons {
		s.c.Check(s.isReady(d), qt.IsTrue)
		s.c.Check(s.send(d, deskRoute+"a", "key-1").status, qt.Equals, 200)
	}
}

// TestRunnersThatLapsedWhileTheStoreWasAway are dropped by the store during its
// outage and write again a second after its return.
func TestRunnersThatLapsedWhileTheStoreWasAway(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	runner := s.addRunner(answering)
	s.ready()
	s.turnAway("", standin.Refused)
	time.Sleep(2500 * time.Millisecond)
	s.store.DropRunner(runner.ID)
	s.turnAway("", standin.None)
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		s.c.Check(s.send(s.daemons[0], deskRoute+"a", "key-1").status, qt.Equals, 200)
	}
	s.describe(runner, false)
	time.Sleep(2 * time.Second)
	s.c.Check(s.send(s.daemons[0], deskRoute+"a", "key-1").status, qt.Equals, 200)
}

func TestStoreThatForgetsItsHistory(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	s.addRunner(answering)
	s.ready()
	s.turnAway("", standin.Refused)
	s.keys = s.keys[:1]
	s.configure()
	s.store.Forget(standin.TopicConfiguration)
	s.store.Forget(standin.TopicRunners)
	s.turnAway("", standin.None)
	for _, d := range s.daemons {
		s.eventually("the newest configuration", applyTime, func() bool {
			return s.send(d, deskRoute+"a", "key-2").status == http.StatusUnauthorized
		})
		s.c.Check(s.send(d, deskRoute+"a", "key-1").status, qt.Equals, 200)
	}
}

func TestAddressThatAnotherRunnerHas(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	first := s.addRunner(answering)
	s.ready()
	s.c.Assert(s.send(s.daemons[0], deskRoute+"a", "key-1").status, qt.Equals, 200)
	other, err := standin.NewRunner("i-other", answering)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(other.Close)
	s.c.Assert(s.store.PutRunner(standin.RunnerRecord{
		ID: first.ID, Service: "desk", Address: other.Address(), Zone: "zone-1",
	}), qt.IsNil)
	s.eventually("the runner's new address", applyTime, func() bool {
		return len(other.Arrivals()) > 0 || s.send(s.daemons[0], deskRoute+"a", "key-1").status != 200
	})
	for _, arrival := range other.Arrivals() {
		s.c.Check(arrival.Ran, qt.IsFalse)
	}
}

func TestQuotaHoldsOverAllDaemons(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	s.addRunner(answering)
	s.limit = 20
	s.configure()
	s.ready()
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
	s.c.Check(float64(granted) <= allowed+20, qt.IsTrue, qt.Commentf("%d of %v", granted, allowed))
	s.c.Check(granted >= 60, qt.IsTrue, qt.Commentf("%d", granted))
}

// TestUsageIsReportedOnce sends requests to daemons of which one stops, and has
// the cloud lose answers.
func TestUsageIsReportedOnce(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	s.addRunner(answering)
	s.ready()
	s.cloud.Lose(1)
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

// windows returns the counts of each window that the cloud has taken. Reports of
// one window must not differ.
func (s *site) windows() map[int64]map[string]int64 {
	windows := make(map[int64]map[string]int64)
	for _, report := range s.cloud.Reports() {
		if held, twice := windows[report.Window]; twice {
			s.c.Assert(report.Counts, qt.DeepEquals, held)
		}
		windows[report.Window] = report.Counts
	}
	return windows
}

// TestPlannedStopLosesNothing stops a daemon while it has a stream, and sends it
// requests until the platform would have noticed.
func TestPlannedStopLosesNothing(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	s.addRunner(func(arrival standin.Arrival) standin.Behaviour {
		if arrival.Target == talkRoute+"a" {
			return standin.Behaviour{Events: 20, Gap: 60 * time.Millisecond}
		}
		return standin.Behaviour{Body: "answer"}
	})
	s.ready()
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

// TestDaemonThatStartsWhileTheStoreTurnsItAway learns all from its peers.
func TestDaemonThatStartsWhileTheStoreTurnsItAway(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	s.addRunner(answering)
	s.ready()
	s.turnAway("entry-1", standin.Silent)
	late := s.start(1)
	late.cancel()
	<-late.entry.Done()
	s.run(late)
	s.eventually("ready", 5*time.Second, func() bool { return s.isReady(late) })
	s.c.Check(s.send(late, deskRoute+"a", "key-1").status, qt.Equals, 200)
}
