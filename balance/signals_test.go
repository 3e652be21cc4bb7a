package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/runnerlimit"
)

// pair is a balancer of two runners of the same service, of which the first is closer.
type pair struct {
	c             *qt.C
	balancer      *balance.Balancer
	first, second inventory.Runner
	changes       []balance.HealthChange
}

func newPair(t *testing.T) *pair {
	p := &pair{
		c:      qt.New(t),
		first:  inventory.Runner{ID: "i-1", StartedAt: start, Address: "10.0.0.1:80", Service: "desk", Zone: "a", Slots: 6},
		second: inventory.Runner{ID: "i-2", StartedAt: start, Address: "10.0.0.2:80", Service: "desk", Zone: "b", Slots: 6},
	}
	options := balance.DefaultOptions("a")
	options.OnHealthChange = func(change balance.HealthChange) { p.changes = append(p.changes, change) }
	p.balancer = balance.New(options, rand.New(rand.NewPCG(1, 2)))
	p.list(p.first, p.second)
	return p
}

// list replaces the records of the runners.
func (p *pair) list(runners ...inventory.Runner) {
	p.balancer.SetRunners(runners, func(string) int { return 0 })
}

// choose returns the ID of the runner that a request gets, or an empty one.
func (p *pair) choose(now time.Time, excluded ...string) (string, error) {
	choice, ticket, err := p.balancer.Choose(balance.Request{Service: "desk", Excluded: excluded}, now)
	if err != nil {
		return "", err
	}
	ticket.End(balance.Cancelled, now)
	return choice.Runner.ID, nil
}

// checkChoice checks which runner a request gets.
func (p *pair) checkChoice(now time.Time, want string) {
	p.c.Helper()
	got, err := p.choose(now)
	p.c.Assert(err, qt.IsNil)
	p.c.Check(got, qt.Equals, want)
}

// makeUnreachable lets an attempt at the second runner fail.
func (p *pair) makeUnreachable() {
	_, ticket, err := p.balancer.Choose(balance.Request{Service: "desk", Excluded: []string{"i-1"}}, start)
	p.c.Assert(err, qt.IsNil)
	ticket.End(balance.Unreachable, start)
}

// TestRunnerThatSaidItLeavesIsNotChosen guards against requests to a runner that has said
// in an answer that it leaves, while its record is read late, from an older copy or not
// at all.
func TestRunnerThatSaidItLeavesIsNotChosen(t *testing.T) {
	for _, scenario := range []struct {
		name string
		// listed are the records that are read afterwards, one list a read.
		listed func(p *pair) [][]inventory.Runner
		want   string
	}{
		{"nothing is read", func(*pair) [][]inventory.Runner { return nil }, "i-2"},
		{"its record still says that it is ready", func(p *pair) [][]inventory.Runner {
			return [][]inventory.Runner{{p.first.WithSequence(2), p.second}}
		}, "i-2"},
		{"its record says that it leaves, and then an older one", func(p *pair) [][]inventory.Runner {
			leaving := p.first
			leaving.State = inventory.Leaving
			return [][]inventory.Runner{{leaving, p.second}, {p.first, p.second}}
		}, "i-2"},
		{"it is removed and an older record is read", func(p *pair) [][]inventory.Runner {
			return [][]inventory.Runner{{p.second}, {p.first, p.second}}
		}, "i-2"},
		{"it starts again with the same ID", func(p *pair) [][]inventory.Runner {
			restarted := p.first
			restarted.StartedAt = start.Add(time.Second)
			return [][]inventory.Runner{{restarted, p.second}}
		}, "i-1"},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			p := newPair(t)
			p.checkChoice(start, "i-1")
			p.balancer.MarkLeaving(p.first)
			for _, runners := range scenario.listed(p) {
				p.list(runners...)
			}
			p.checkChoice(start, scenario.want)
			p.checkChoice(start.Add(time.Hour), scenario.want)
		})
	}
}

// TestOnlyLeavingRunnersAreLeft guards against the fallback to unreachable runners: a
// runner that leaves is no such runner.
func TestOnlyLeavingRunnersAreLeft(t *testing.T) {
	p := newPair(t)
	p.balancer.MarkLeaving(p.first)
	p.makeUnreachable()
	p.checkChoice(start, "i-2")
	p.balancer.MarkLeaving(p.second)
	_, err := p.choose(start)
	p.c.Check(err, qt.DeepEquals, &balance.NoRunnerError{Service: "desk", Known: 2})
	p.c.Check(p.balancer.Load("desk", start).Runners, qt.Equals, 0)
}

// TestLeavingIsReportedOnce guards against a log line, or a move of streams, for every
// answer of a runner that leaves.
func TestLeavingIsReportedOnce(t *testing.T) {
	p := newPair(t)
	p.c.Check(p.balancer.MarkLeaving(p.first), qt.IsTrue)
	p.c.Check(p.balancer.MarkLeaving(p.first), qt.IsFalse)
	p.c.Check(p.changes, qt.DeepEquals, []balance.HealthChange{{Kind: balance.RunnerSaidLeaving, Runner: "i-1", Zone: "a"}})
	leaving := p.second
	leaving.State = inventory.Leaving
	p.list(p.first, leaving)
	p.c.Check(p.balancer.MarkLeaving(p.second), qt.IsFalse, qt.Commentf("its record says so already"))
	p.c.Check(p.changes, qt.HasLen, 1)
}

// TestLateAnswerOfEarlierIncarnation guards against a restarted runner that is avoided
// because the process before it has said that it leaves.
func TestLateAnswerOfEarlierIncarnation(t *testing.T) {
	p := newPair(t)
	restarted := p.first
	restarted.StartedAt = start.Add(time.Second)
	p.list(restarted, p.second)
	p.c.Check(p.balancer.MarkLeaving(p.first), qt.IsFalse)
	p.checkChoice(start, "i-1")
}

// TestStoppedRunReturnsToLeavingRunner guards against losing a run that was stopped and
// whose memory could not be copied to another runner.
func TestStoppedRunReturnsToLeavingRunner(t *testing.T) {
	p := newPair(t)
	p.balancer.MarkLeaving(p.first)
	ticket, err := p.balancer.Acquire(p.first, start)
	p.c.Assert(err, qt.IsNil)
	p.c.Check(p.balancer.Report(false, start).Loads, qt.DeepEquals, []balance.Load{{Runner: "i-1", Running: 1}})
	ticket.End(balance.Succeeded, start)
	p.c.Check(p.balancer.Report(false, start).Loads, qt.HasLen, 0)
}

// TestLeavingIsToldToPeers guards against daemons that go on to use a leaving runner until
// it has said so to each of them.
func TestLeavingIsToldToPeers(t *testing.T) {
	p, peer := newPair(t), newPair(t)
	p.balancer.MarkLeaving(p.first)
	report := p.balancer.Report(false, start)
	p.c.Check(peer.balancer.SetPeer(balance.Peer{Daemon: runnerlimit.Daemon{Name: "entry-1"}}, report, start), qt.DeepEquals, []string{"i-1"})
	peer.checkChoice(start, "i-2")
	p.c.Check(peer.balancer.SetPeer(balance.Peer{Daemon: runnerlimit.Daemon{Name: "entry-1"}}, report, start), qt.HasLen, 0, qt.Commentf("it is news once"))
	p.c.Check(peer.changes, qt.HasLen, 1)

	restarted := p.first
	restarted.StartedAt = start.Add(time.Second)
	peer.list(restarted, p.second)
	peer.balancer.SetPeer(balance.Peer{Daemon: runnerlimit.Daemon{Name: "entry-1"}}, report, start)
	peer.checkChoice(start, "i-1")
}

// TestLeavingInRecordIsNotToldToPeers guards against reports that grow with what the
// records say already.
func TestLeavingInRecordIsNotToldToPeers(t *testing.T) {
	p := newPair(t)
	p.balancer.MarkLeaving(p.first)
	p.c.Check(p.balancer.Report(false, start).Leaving, qt.HasLen, 1)
	leaving := p.first
	leaving.State = inventory.Leaving
	p.list(leaving, p.second)
	p.c.Check(p.balancer.Report(false, start).Leaving, qt.HasLen, 0)
}

// TestIsLeaving guards against a stream that stays at a runner which has said that it
// leaves, or whose record says so or is gone.
func TestIsLeaving(t *testing.T) {
	p := newPair(t)
	p.c.Check(p.balancer.IsLeaving(p.first), qt.IsFalse)
	p.balancer.MarkLeaving(p.first)
	p.c.Check(p.balancer.IsLeaving(p.first), qt.IsTrue)
	restarted, leaving := p.first, p.second
	restarted.StartedAt = start.Add(time.Second)
	leaving.State = inventory.Leaving
	p.list(restarted, leaving)
	p.c.Check(p.balancer.IsLeaving(restarted), qt.IsFalse)
	p.c.Check(p.balancer.IsLeaving(p.first), qt.IsTrue)
	p.c.Check(p.balancer.IsLeaving(p.second), qt.IsTrue)
	p.list(restarted)
	p.c.Check(p.balancer.IsLeaving(p.second), qt.IsTrue)
}
