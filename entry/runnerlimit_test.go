package entry_test

import (
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
	for range 20 {
		s.c.Check(s.send(started, deskRoute+nextAttempt(), s.keys[0]).status, qt.Equals, 200)
	}
	s.c.Check(limited.receivedSince(time.Time{})-before <= 1, qt.IsTrue,
		qt.Commentf("got %d of 20 requests at once", limited.receivedSince(time.Time{})-before))
}
