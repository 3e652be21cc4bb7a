package route_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/route"
)

var start = time.Date(2026, 1, 5, 5, 0, 0, 0, time.UTC)

// newView returns a view of count runners in four zones.
func newView(count int) *route.View {
	view := route.NewView(route.DefaultOptions("a"))
	runners := make([]route.Runner, count)
	for i := range runners {
		runners[i] = route.Runner{
			Name:  fmt.Sprintf("runner-%d", i),
			Zone:  string(rune('a' + i%4)),
			Price: 1,
		}
	}
	view.SetRunners(runners)
	return view
}

// newCall returns a call whose prompt shares its blocks with every other call
// of the same seed.
func newCall(seed uint64, blocks int) *route.Call {
	call := &route.Call{
		PromptTokens:    blocks * 64,
		FirstToken:      400 * time.Millisecond,
		BetweenTokens:   62 * time.Millisecond,
		RecomputeWeight: 1,
		CostWeight:      1,
		Zone:            "a",
	}
	for i := range blocks {
		call.Blocks = append(call.Blocks, seed<<32+uint64(i)+1)
	}
	return call
}

// send chooses runners for count calls, one after the other, and records each as in
// flight. It returns the last decision.
func send(c *qt.C, view *route.View, call *route.Call, count int) (route.Decision, []route.Flight) {
	var flights []route.Flight
	var last route.Decision
	for range count {
		decision, err := route.NewScore().Choose(call, view, start)
		c.Assert(err, qt.IsNil)
		flights = append(flights, view.RecordStart(call, decision, start))
		last = decision
	}
	return last, flights
}

func TestScoreReturnsToRunnerThatCachesPrompt(t *testing.T) {
	c := qt.New(t)
	view := newView(20)
	call := newCall(7, 40)
	first, flights := send(c, view, call, 1)
	view.RecordFirstToken(&flights[0])

	second, err := route.NewScore().Choose(call, view, start)

	c.Assert(err, qt.IsNil)
	c.Assert(second.Runner, qt.Equals, first.Runner)
	c.Assert(first.Uncached, qt.Equals, 40*64)
	c.Assert(second.Uncached, qt.Equals, 0)
}

func TestDaemonsWithoutDigestsChooseSameRunnerForSamePrompt(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		first, _ := send(c, newView(20), newCall(seed, 40), 1)
		second, _ := send(c, newView(20), newCall(seed, 40), 1)
		c.Assert(first.Runner, qt.Equals, second.Runner)
	}
}

func TestScoreSpreadsHotPromptUnderLoad(t *testing.T) {
	c := qt.New(t)
	view := newView(4)
	call := newCall(7, 40)
	used := map[string]int{}
	for range 120 {
		decision, flights := send(c, view, call, 1)
		view.RecordFirstToken(&flights[0])
		used[decision.Runner]++
	}
	c.Assert(len(used) > 1, qt.IsTrue)
	speed := route.DefaultSpeed()
	for _, inFlight := range used {
		step := speed.Step + time.Duration(inFlight-speed.FreeBatch)*speed.StepPerStream
		c.Assert(step <= call.BetweenTokens, qt.IsTrue, qt.Commentf("%v", used))
	}
}

func TestScoreRefusals(t *testing.T) {
	c := qt.New(t)
	view := newView(2)
	_, flights := send(c, view, newCall(1, 2), 96)
	for i := range flights {
		view.RecordFirstToken(&flights[i])
	}
	high := newCall(2, 2)
	high.Priority = 5
	_, err := route.NewScore().Choose(high, view, start)
	c.Assert(err, qt.IsNil)

	_, err = route.NewScore().Choose(newCall(3, 2), view, start)

	var overload *route.OverloadError
	c.Assert(errors.As(err, &overload), qt.IsTrue)
	c.Assert(overload.RetryAfter >= time.Second, qt.IsTrue)
	resumed := newCall(3, 2)
	resumed.Resumed = true
	_, err = route.NewScore().Choose(resumed, view, start)
	c.Assert(err, qt.IsNil)
}

func TestLeavingRunnersGetNoCalls(t *testing.T) {
	c := qt.New(t)
	policies := []route.Policy{
		route.NewScore(), route.RoundRobin{}, route.LeastInFlight{},
		route.PrefixHash{KeyBlocks: 2}, route.BoundedHash{KeyBlocks: 2, Bound: 1.25},
	}
	for _, policy := range policies {
		c.Run(policy.Name(), func(c *qt.C) {
			view := newView(2)
			view.SetLeaving("runner-0")
			decision, err := policy.Choose(newCall(1, 4), view, start)
			c.Assert(err, qt.IsNil)
			c.Assert(decision.Runner, qt.Equals, "runner-1")
			view.SetLeaving("runner-1")
			_, err = policy.Choose(newCall(1, 4), view, start)
			var noBackend *route.NoBackendError
			c.Assert(errors.As(err, &noBackend), qt.IsTrue)
		})
	}
}

func TestViewCountsPeerLoadAndEndsCallOnce(t *testing.T) {
	c := qt.New(t)
	sender, receiver := newView(3), newView(3)
	decision, flights := send(c, sender, newCall(1, 20), 1)
	receiver.ApplyDigest(sender.OwnDigest("daemon-1", start))
	other, err := route.LeastInFlight{}.Choose(newCall(2, 2), receiver, start)
	c.Assert(err, qt.IsNil)
	c.Assert(other.Runner, qt.Not(qt.Equals), decision.Runner)

	sender.RecordEnd(&flights[0], start)
	sender.RecordEnd(&flights[0], start)
	report := sender.OwnDigest("daemon-1", start.Add(time.Second))

	c.Assert(report.Loads[0].InFlight, qt.Equals, 0)
	c.Assert(report.Loads[0].QueuedTokens, qt.Equals, 0)
}

func TestStaleDigestsDoNotSendAllCallsToOneRunner(t *testing.T) {
	c := qt.New(t)
	view, peer := newView(4), newView(4)
	for seed := range uint64(40) {
		decision, flights := send(c, peer, newCall(seed, 2), 1)
		if decision.Runner == "runner-0" {
			peer.RecordEnd(&flights[0], start)
			continue
		}
		peer.RecordFirstToken(&flights[0])
	}
	view.ApplyDigest(peer.OwnDigest("daemon-1", start))
	used := map[string]int{}
	for seed := range uint64(20) {
		decision, flights := send(c, view, newCall(100+seed, 2), 1)
		view.RecordFirstToken(&flights[0])
		used[decision.Runner]++
	}
	c.Assert(used["runner-0"] < 15, qt.IsTrue, qt.Commentf("%v", used))
}

func TestFlightOfRemovedRunnerIsIgnored(t *testing.T) {
	c := qt.New(t)
	view := newView(1)
	_, flights := send(c, view, newCall(1, 20), 1)
	view.SetRunners([]route.Runner{{Name: "other", Zone: "a"}})

	view.RecordEnd(&flights[0], start)

	c.Assert(view.OwnDigest("daemon-1", start).Loads, qt.HasLen, 0)
}

func BenchmarkScore(b *testing.B) {
	for _, runners := range []int{107, 1500} {
		b.Run(fmt.Sprintf("%d runners", runners), func(b *testing.B) {
			view, policy := newView(runners), route.NewScore()
			calls := make([]*route.Call, 64)
			for i := range calls {
				calls[i] = newCall(uint64(i), 80)
				decision, _ := policy.Choose(calls[i], view, start)
				flight := view.RecordStart(calls[i], decision, start)
				view.RecordFirstToken(&flight)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_, _ = policy.Choose(calls[i%len(calls)], view, start)
			}
		})
	}
}

func TestDaemonsSendLongPromptsToDifferentRunners(t *testing.T) {
	c := qt.New(t)
	names := []string{"daemon-1", "daemon-2", "daemon-3", "daemon-4"}
	policy := route.NewScore()
	policy.AffinitySlack = 0
	used := map[string]bool{}
	for _, name := range names {
		options := route.DefaultOptions("a")
		options.Daemon = name
		view := route.NewView(options)
		var runners []route.Runner
		for i := range names {
			runners = append(runners, route.Runner{Name: fmt.Sprintf("runner-%d", i), Zone: "a"})
		}
		view.SetRunners(runners)
		for _, peer := range names {
			if peer != name {
				view.ApplyDigest(route.Digest{Daemon: peer, Time: start})
			}
		}
		decision, err := policy.Choose(newCall(7, 40), view, start)
		c.Assert(err, qt.IsNil)
		used[decision.Runner] = true
	}
	c.Assert(used, qt.HasLen, len(names))
}

func TestDecisionsDoNotAllocate(t *testing.T) {
	c := qt.New(t)
	for _, runners := range []int{107, 1500} {
		view, policy, call := newView(runners), route.NewScore(), newCall(7, 80)
		send(c, view, call, 1)
		allocations := testing.AllocsPerRun(100, func() { _, _ = policy.Choose(call, view, start) })
		c.Assert(allocations, qt.Equals, 0.0)
	}
}

func TestUsageCorrectsPrefillAndCache(t *testing.T) {
	c := qt.New(t)
	view := newView(2)
	call := newCall(7, 40)
	decision, flights := send(c, view, call, 1)

	view.RecordUsage(&flights[0], call, decision, call.PromptTokens)

	c.Assert(view.OwnDigest("daemon-1", start).Loads[0].PrefillTokensPerSecond, qt.Equals, 0.0)
	for _, block := range call.Blocks {
		view.RecordCacheEvent(decision.Runner, block, false)
	}
	again, err := route.NewScore().Choose(call, view, start)
	c.Assert(err, qt.IsNil)
	c.Assert(again.Uncached, qt.Equals, call.PromptTokens)
}
