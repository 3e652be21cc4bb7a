package balance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/inventory"
)

// TestPausedRunnerIsNotChosen guards against requests to a runner from its answer until
// the end of the time for which it wants none, and against avoiding it for longer.
func TestPausedRunnerIsNotChosen(t *testing.T) {
	type answer struct{ at, wanted time.Duration }
	for _, scenario := range []struct {
		name    string
		answers []answer
		// end is when the pause ends.
		end time.Duration
	}{
		{"one answer", []answer{{0, 2 * time.Second}}, 2 * time.Second},
		{"a later answer ends later", []answer{{0, 2 * time.Second}, {time.Second, 2 * time.Second}}, 3 * time.Second},
		{"a later answer ends sooner", []answer{{0, 2 * time.Second}, {time.Second, 500 * time.Millisecond}}, 2 * time.Second},
		{"a shorter pause follows", []answer{{0, time.Second}, {1500 * time.Millisecond, 500 * time.Millisecond}}, 2 * time.Second},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			p := newPair(t)
			for _, answer := range scenario.answers {
				p.balancer.Pause(p.first, answer.wanted, start.Add(answer.at))
				p.checkChoice(start.Add(answer.at), "i-2")
			}
			p.checkChoice(start.Add(scenario.end-time.Nanosecond), "i-2")
			p.checkChoice(start.Add(scenario.end), "i-1")
		})
	}
}

// TestRecordsDoNotEndAPause guards against records that bring a paused runner back, and
// against a new incarnation that inherits the pause.
func TestRecordsDoNotEndAPause(t *testing.T) {
	p := newPair(t)
	p.balancer.Pause(p.first, time.Minute, start)
	p.list(p.first.WithSequence(2), p.second)
	p.checkChoice(start, "i-2")
	p.list(p.second)
	p.list(p.first, p.second)
	p.checkChoice(start, "i-2")
	restarted := p.first
	restarted.StartedAt = start.Add(time.Second)
	p.list(restarted, p.second)
	p.checkChoice(start, "i-1")
}

// TestNoRunnerWantsRequests guards against the fallback to unreachable runners, which must
// not bring back a paused one, and against a wrong time at which callers come back.
func TestNoRunnerWantsRequests(t *testing.T) {
	const shorter, longer = 2 * time.Second, 5 * time.Second
	for _, scenario := range []struct {
		name     string
		given    func(p *pair)
		excluded []string
		// pauseLeft is that of the error, and chosen the runner if there is none.
		pauseLeft time.Duration
		chosen    string
	}{
		{"all are paused", func(p *pair) {
			p.balancer.Pause(p.first, longer, start)
			p.balancer.Pause(p.second, shorter, start)
		}, nil, shorter, ""},
		{"the first to return was tried", func(p *pair) {
			p.balancer.Pause(p.first, longer, start)
			p.balancer.Pause(p.second, shorter, start)
		}, []string{"i-2"}, shorter, ""},
		{"the first to return is leaving", func(p *pair) {
			p.balancer.Pause(p.first, longer, start)
			p.balancer.Pause(p.second, shorter, start)
			p.balancer.MarkLeaving(p.second)
		}, nil, longer, ""},
		{"the other one was tried and may return at once", func(p *pair) {
			p.balancer.Pause(p.first, longer, start)
		}, []string{"i-2"}, 0, ""},
		{"all are leaving", func(p *pair) {
			p.balancer.MarkLeaving(p.first)
			p.balancer.MarkLeaving(p.second)
		}, nil, 0, ""},
		{"the other one is unreachable", func(p *pair) {
			p.makeUnreachable()
			p.balancer.Pause(p.first, longer, start)
		}, nil, 0, "i-2"},
		{"the paused one is unreachable too", func(p *pair) {
			p.makeUnreachable()
			p.balancer.Pause(p.second, shorter, start)
			p.balancer.Pause(p.first, longer, start)
		}, nil, shorter, ""},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			p := newPair(t)
			scenario.given(p)
			chosen, err := p.choose(start, scenario.excluded...)
			p.c.Check(chosen, qt.Equals, scenario.chosen)
			if scenario.chosen == "" {
				p.c.Check(err, qt.DeepEquals, &balance.NoRunnerError{Service: "desk", Known: 2, PauseLeft: scenario.pauseLeft})
				p.c.Check(p.balancer.ServicePauseLeft("desk", start), qt.Equals, scenario.pauseLeft)
			}
		})
	}
}

// TestStoppedRunReturnsToNoPausedRunner guards against the way around the choice of a
// runner, also for an incarnation that was removed.
func TestStoppedRunReturnsToNoPausedRunner(t *testing.T) {
	for name, listed := range map[string][]inventory.Runner{"known": {{ID: "i-1", StartedAt: start, Address: "10.0.0.1:80", Service: "desk"}}, "removed": nil} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			p.balancer.Pause(p.first, time.Second, start)
			p.list(listed...)
			_, err := p.balancer.Acquire(p.first, start)
			p.c.Check(err, qt.DeepEquals, &balance.PausedError{Runner: "i-1", Left: time.Second})
			ticket, err := p.balancer.Acquire(p.first, start.Add(time.Second))
			p.c.Assert(err, qt.IsNil)
			ticket.End(balance.Succeeded, start.Add(time.Second))
		})
	}
}

// TestPauseIsReportedOnce guards against a log line for every request that a runner turns
// away.
func TestPauseIsReportedOnce(t *testing.T) {
	p := newPair(t)
	reported := func(pause time.Duration) balance.HealthChange {
		return balance.HealthChange{Kind: balance.RunnerPaused, Runner: "i-1", Zone: "a", Pause: pause}
	}
	p.balancer.Pause(p.first, time.Second, start)
	p.balancer.Pause(p.first, 2*time.Second, start)
	p.c.Check(p.changes, qt.DeepEquals, []balance.HealthChange{reported(time.Second)})
	p.balancer.Pause(p.first, 3*time.Second, start.Add(2*time.Second))
	p.c.Check(p.changes, qt.DeepEquals, []balance.HealthChange{reported(time.Second), reported(3 * time.Second)})
}
