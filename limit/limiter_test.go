package limit_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/limit"
)

var start = time.Date(2026, 1, 5, 5, 0, 0, 0, time.UTC)

const (
	limitName = "Gold"
	rate      = 100.0
)

// group is a set of limiters that exchange their demands every half second.
type group struct {
	limiters map[string]*limit.Limiter
	// isConnected reports whether reports of one daemon reach the other.
	isConnected func(from, to string) bool
}

func newGroup(sharing limit.Sharing, names ...string) *group {
	g := &group{limiters: map[string]*limit.Limiter{}, isConnected: func(string, string) bool { return true }}
	for _, name := range names {
		options := limit.DefaultOptions(name)
		options.Sharing = sharing
		l := limit.New(options)
		l.SetLimit(limitName, rate)
		var peers []string
		for _, peer := range names {
			if peer != name {
				peers = append(peers, peer)
			}
		}
		l.SetPeers(peers)
		g.limiters[name] = l
	}
	return g
}

// run requests units at each daemon at the rate in demand, in units per second, between
// the times from and to, in seconds after start. It returns the granted units per second
// over the last five seconds.
func (g *group) run(from, to int, demand map[string]float64) map[string]float64 {
	const steps = 100
	granted, pending := map[string]float64{}, map[string]float64{}
	for step := from * steps; step < to*steps; step++ {
		now := start.Add(time.Duration(step) * time.Second / steps)
		if step%50 == 0 {
			g.exchange(now)
		}
		for name, l := range g.limiters {
			for pending[name] += demand[name] / steps; pending[name] >= 1; pending[name]-- {
				if l.Allow(limitName, 1, now) == nil && step >= (to-5)*steps {
					granted[name] += 0.2
				}
			}
		}
	}
	return granted
}

func (g *group) exchange(now time.Time) {
	for from, sender := range g.limiters {
		for to, receiver := range g.limiters {
			if from != to && g.isConnected(from, to) {
				receiver.Merge(from, sender.Demands(now), now)
			}
		}
	}
}

func TestSharesFollowDemand(t *testing.T) {
	tests := map[string]struct {
		sharing limit.Sharing
		demand  map[string]float64
		low     float64
		high    float64
	}{
		"even demand below limit":  {limit.FollowDemand, map[string]float64{"a": 30, "b": 30, "c": 30}, 88, 90},
		"even demand above limit":  {limit.FollowDemand, map[string]float64{"a": 60, "b": 60, "c": 60}, 95, 105},
		"all demand at one daemon": {limit.FollowDemand, map[string]float64{"a": 180}, 95, 105},
		"even split, one daemon":   {limit.EvenSplit, map[string]float64{"a": 180}, 32, 35},
		"no sharing":               {limit.NoSharing, map[string]float64{"a": 180, "b": 180, "c": 180}, 297, 303},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			granted := newGroup(test.sharing, "a", "b", "c").run(0, 20, test.demand)
			total := granted["a"] + granted["b"] + granted["c"]
			qt.Assert(t, total >= test.low && total <= test.high, qt.IsTrue, qt.Commentf("%v", granted))
		})
	}
}

func TestSharesAreFrozenDuringPartition(t *testing.T) {
	c := qt.New(t)
	g := newGroup(limit.FollowDemand, "a", "b", "c")
	g.run(0, 20, map[string]float64{"a": 60, "b": 60, "c": 60})
	g.isConnected = func(from, to string) bool { return from != "c" && to != "c" }

	granted := g.run(20, 40, map[string]float64{"a": 180, "c": 180})

	c.Assert(granted["a"] > 60 && granted["a"] < 70, qt.IsTrue, qt.Commentf("%v", granted))
	c.Assert(granted["c"] > 30 && granted["c"] < 37, qt.IsTrue, qt.Commentf("%v", granted))
}

func TestExceededErrorReportsWhenToRetry(t *testing.T) {
	c := qt.New(t)
	l := limit.New(limit.DefaultOptions("a"))
	l.SetLimit(limitName, 10)
	c.Assert(l.Allow(limitName, 30, start), qt.IsNil)

	err := l.Allow(limitName, 1, start)

	var exceeded *limit.ExceededError
	c.Assert(errors.As(err, &exceeded), qt.IsTrue)
	c.Assert(exceeded.RetryAfter, qt.Equals, 2100*time.Millisecond)
	c.Assert(l.Allow(limitName, 1, start.Add(exceeded.RetryAfter)), qt.IsNil)
	l.SetLimit(limitName, 0)
	c.Assert(l.Allow(limitName, 1000, start), qt.IsNil)
}
