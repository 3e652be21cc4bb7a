package entry_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// TestDaemonsTogetherKeepTheLimitsOfRunners guards against daemons that send a runner together
// more requests than it has named in its answers, though none sends it more alone.
func TestDaemonsTogetherKeepTheLimitsOfRunners(t *testing.T) {
	for _, scenario := range []struct {
		name, path             string
		daemons, limited, free int
		perSecond              float64
		interval               time.Duration
	}{
		{"two of four runners, streams", talkRoute, 6, 2, 2, 1, 25 * time.Millisecond},
		{"two of four runners, calls that run once", deskRoute, 6, 2, 2, 1, 25 * time.Millisecond},
		{"two of four runners, idempotent calls", readRoute, 6, 2, 2, 1, 25 * time.Millisecond},
		{"all runners, streams", talkRoute, 6, 2, 0, 4, 25 * time.Millisecond},
		{"a high limit, one of two runners", readRoute, 8, 1, 1, 10, 10 * time.Millisecond},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			s := newTestSystem(t, scenario.daemons)
			var limited []*limitedRunner
			for range scenario.limited {
				limited = append(limited, s.addLimitedRunner(scenario.path))
			}
			for range scenario.free {
				s.addRunner(func(standin.ReceivedRequest) standin.Behaviour { return answerOn(scenario.path) })
			}
			s.awaitReady()
			s.sendSteadily(scenario.path, time.Second, scenario.interval)
			for _, l := range limited {
				l.name(scenario.perSecond)
			}
			s.sendSteadily(scenario.path, 10*time.Second, scenario.interval)
			for _, l := range limited {
				s.checkLimit(l, scenario.perSecond)
			}
		})
	}
}

// TestNewDaemonKnowsTheLimitsOfRunners guards against a daemon that has just started and sends
// to a runner as if it had named no limit, until it gets an answer itself.
func TestNewDaemonKnowsTheLimitsOfRunners(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	limited := s.addLimitedRunner(deskRoute)
	s.addRunner(func(standin.ReceivedRequest) standin.Behaviour { return answerOn(deskRoute) })
	s.awaitReady()
	limited.name(0.5)
	s.sendSteadily(deskRoute, 2*time.Second, 20*time.Millisecond)
	s.c.Assert(limited.firstNamedAt().IsZero(), qt.IsFalse)
	started := s.start(len(s.daemons))
	s.eventually("ready", 5*time.Second, func() bool { return s.isReady(started) })
	before := limited.receivedSince(time.Time{})
	var sent sync.WaitGroup
	for range 20 {
		// At the same time, so that no answer tells of the limit before they are sent.
		sent.Go(func() { s.c.Check(s.send(started, deskRoute+nextAttempt(), s.keys[0]).status, qt.Equals, 200) })
	}
	sent.Wait()
	s.c.Check(limited.receivedSince(time.Time{})-before <= 1, qt.IsTrue,
		qt.Commentf("got %d of 20 requests at once", limited.receivedSince(time.Time{})-before))
}

// TestLimitsOfRunnersChange guards against limits that can't be raised, lowered or ended, at any
// of the daemons.
func TestLimitsOfRunnersChange(t *testing.T) {
	t.Parallel()
	const interval = 15 * time.Millisecond
	s := newTestSystem(t, 4)
	limited := s.addLimitedRunner(readRoute)
	s.addRunner(func(standin.ReceivedRequest) standin.Behaviour { return answerOn(readRoute) })
	s.awaitReady()
	for _, perSecond := range []float64{2, 8, 1} {
		limited.name(perSecond)
		s.sendSteadily(readRoute, 8*time.Second, interval)
		s.checkLimit(limited, perSecond)
		most := limited.mostInWindow(limited.firstNamedAt().Add(exchangeTime))
		s.c.Check(float64(most) >= perSecond*limitWindow.Seconds()/2, qt.IsTrue,
			qt.Commentf("%d requests in %v at a limit of %g a second", most, limitWindow, perSecond))
	}
	limited.name(0)
	s.sendSteadily(readRoute, limitWindow, interval)
	ended := time.Now()
	s.sendSteadily(readRoute, 2*time.Second, interval)
	got := limited.receivedSince(ended)
	s.c.Check(got >= 20, qt.IsTrue, qt.Commentf("%d requests in 2 s after the end of the limit", got))
}

// TestRequestsBeyondTheLimitsOfRunnersAreRefused guards against requests that wait for a runner
// which gets no more for now, that use up the customer's quota though nothing was sent, and that
// are told nothing of when to come back.
func TestRequestsBeyondTheLimitsOfRunnersAreRefused(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	s.rateLimit = 20
	s.configure()
	limited := []*limitedRunner{s.addLimitedRunner(deskRoute), s.addLimitedRunner(deskRoute)}
	s.awaitReady()
	for _, l := range limited {
		l.name(2)
	}
	s.sendSteadily(deskRoute, time.Second, 60*time.Millisecond)
	got := s.sendSteadily(deskRoute, 10*time.Second, 25*time.Millisecond)
	s.c.Check(got.statuses[http.StatusTooManyRequests], qt.Equals, 0)
	s.c.Check(got.statuses[http.StatusOK]+got.statuses[http.StatusServiceUnavailable], qt.Equals, got.total())
	s.c.Check(got.statuses[http.StatusOK] >= 20, qt.IsTrue, qt.Commentf("%v", got.statuses))
	s.c.Check(got.slowestRefusal < time.Second, qt.IsTrue, qt.Commentf("%v", got.slowestRefusal))
	s.c.Check(got.withoutRetryAfter, qt.Equals, 0)
	for _, l := range limited {
		s.checkLimit(l, 2)
	}
}

// TestStoppingDaemonHandsItsShareOn guards against a part of a limit that nobody uses since the
// daemon that had it has stopped.
func TestStoppingDaemonHandsItsShareOn(t *testing.T) {
	t.Parallel()
	const perSecond, interval = 4, 40 * time.Millisecond
	s := newTestSystem(t, 3)
	limited := s.addLimitedRunner(deskRoute)
	limited.name(perSecond)
	s.awaitReady()
	s.sendSteadily(deskRoute, 4*time.Second, interval)
	for _, d := range s.daemons[:2] {
		d.cancel()
		<-d.entry.Done()
	}
	s.daemons = s.daemons[2:]
	began := time.Now()
	s.sendSteadily(deskRoute, 5*time.Second, interval)
	got := limited.receivedSince(began)
	s.c.Check(got >= 12, qt.IsTrue, qt.Commentf("%d requests in 5 s", got))
	s.checkLimit(limited, perSecond)
}

// TestInvalidLimitsOfRunnersChangeNothing guards against daemons that stop, or runners that get no
// requests, since a runner names something that is no limit.
func TestInvalidLimitsOfRunnersChangeNothing(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	values := []string{"", "0", "-3", "NaN", "Inf", "-Inf", "1e300", "1e999", "one", "1,2", "0x"}
	var received atomic.Int64
	s.addRunner(func(standin.ReceivedRequest) standin.Behaviour {
		i := int(received.Add(1)) % len(values)
		return standin.Behaviour{Body: "answer", Limits: values[i : i+1]}
	})
	s.awaitReady()
	for range 3 * len(values) {
		s.c.Check(s.send(s.daemons[0], deskRoute+nextAttempt(), s.keys[0]).status, qt.Equals, http.StatusOK)
	}
}
