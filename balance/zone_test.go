package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/inventory"
)

var start = time.Unix(1000, 0)

// newBalancer returns the balancer of a daemon in zone a, with two runners of the
// same service in each of four zones.
func newBalancer() *balance.Balancer { return newBalancerWith(balance.DefaultOptions("a")) }

func newBalancerWith(options balance.Options) *balance.Balancer {
	b := balance.New(options, rand.New(rand.NewPCG(1, 2)))
	var runners []inventory.Runner
	for _, zone := range []string{"a", "b", "c", "d"} {
		for i := range 2 {
			runners = append(runners, inventory.Runner{ID: fmt.Sprint(zone, i), Service: "desk", Zone: zone, Slots: 6})
		}
	}
	b.SetRunners(runners, func(string) int { return 100000 })
	return b
}

// The runners of a zone fail repeatedly and then answer: each change of health must
// be reported exactly once.
func TestHealthChangesAreReportedOnce(t *testing.T) {
	c := qt.New(t)
	var reported []balance.HealthChange
	options := balance.DefaultOptions("a")
	options.OnHealthChange = func(change balance.HealthChange) { reported = append(reported, change) }
	b := newBalancerWith(options)
	excluded := []string{"a0", "a1", "c0", "c1", "d0", "d1"}
	try := func(result balance.Result, now time.Time) {
		_, ticket, err := b.Choose(balance.Request{Service: "desk", Excluded: excluded}, now)
		c.Assert(err, qt.IsNil)
		ticket.End(result, now)
	}
	for range 6 {
		try(balance.Unreachable, start)
	}
	kinds := map[balance.HealthChangeKind]int{}
	for _, change := range reported {
		kinds[change.Kind]++
	}
	c.Check(kinds, qt.DeepEquals, map[balance.HealthChangeKind]int{balance.RunnerDown: 2, balance.ZoneCut: 1})
	reported = nil
	try(balance.Succeeded, start.Add(10*time.Second))
	c.Check(reported, qt.HasLen, 2)
	c.Check(reported[0], qt.Equals, balance.HealthChange{Kind: balance.ZoneBack, Zone: "b"})
	c.Check(reported[1].Kind, qt.Equals, balance.RunnerUp)
}

// A network partition separates the daemon's zone from the others: few requests may
// be lost to runners that can't be reached.
func TestUnreachableZonesAreAvoided(t *testing.T) {
	c := qt.New(t)
	b := newBalancer()
	now, lost := start, 0
	// 2000 requests in 10 s, each of which takes 50 ms in the daemon's own zone.
	type openRequest struct {
		ticket *balance.Ticket
		ends   time.Time
		result balance.Result
	}
	var running []openRequest
	for range 2000 {
		now = now.Add(5 * time.Millisecond)
		remaining := running[:0]
		for _, o := range running {
			if now.Before(o.ends) {
				remaining = append(remaining, o)
				continue
			}
			o.ticket.End(o.result, now)
		}
		running = remaining
		choice, ticket, err := b.Choose(balance.Request{Service: "desk"}, now)
		c.Assert(err, qt.IsNil)
		if choice.Runner.Zone == "a" {
			running = append(running, openRequest{ticket, now.Add(50 * time.Millisecond), balance.Succeeded})
			continue
		}
		lost++
		running = append(running, openRequest{ticket, now.Add(250 * time.Millisecond), balance.Unreachable})
	}
	c.Check(lost < 200, qt.IsTrue, qt.Commentf("%d of 2000 requests went to unreachable zones", lost))
}

func TestZoneWithSomeAnswersStaysReachable(t *testing.T) {
	c := qt.New(t)
	options := balance.DefaultOptions("a")
	options.FailureCostPlain = 0 // Only the zones' reachability matters here.
	b := newBalancerWith(options)
	zones := map[string]int{}
	now := start
	for i := range 400 {
		now = now.Add(5 * time.Millisecond)
		choice, ticket, err := b.Choose(balance.Request{Service: "desk", Excluded: []string{"a0", "a1"}}, now)
		c.Assert(err, qt.IsNil)
		zones[choice.Runner.Zone]++
		result := balance.Succeeded
		if i%3 == 0 {
			result = balance.Silent
		}
		ticket.End(result, now)
	}
	for _, zone := range []string{"b", "c", "d"} {
		c.Check(zones[zone] > 50, qt.IsTrue, qt.Commentf("%v", zones))
	}
}

func TestUnreachableZoneIsUsedWhenNoOtherIsLeft(t *testing.T) {
	c := qt.New(t)
	b := newBalancer()
	excluded := []string{"a0", "a1", "b0", "b1", "c0", "c1"}
	for range 4 {
		_, ticket, err := b.Choose(balance.Request{Service: "desk", Excluded: excluded}, start)
		c.Assert(err, qt.IsNil)
		ticket.End(balance.Unreachable, start)
	}
}

func TestZoneWithSilentDaemonsIsUnreachableAfterOneSilentRunner(t *testing.T) {
	c := qt.New(t)
	b := newBalancer()
	b.SetSilentZones([]string{"b", "c", "d"})
	excluded := []string{"a0", "a1"}
	for range 3 {
		choice, ticket, err := b.Choose(balance.Request{Service: "desk", Excluded: excluded}, start)
		c.Assert(err, qt.IsNil)
		excluded = append(excluded, choice.Runner.ID)
		ticket.End(balance.Silent, start)
	}
	choice, _, err := b.Choose(balance.Request{Service: "desk"}, start)
	c.Assert(err, qt.IsNil)
	c.Check(choice.Runner.Zone, qt.Equals, "a")
}

// Guards against a zone that is avoided since some of its runners have crashed and refuse
// connections.
func TestZoneOfCrashedRunnersIsNotCut(t *testing.T) {
	c := qt.New(t)
	b := newBalancer()
	try := func(only string, result balance.Result) {
		_, ticket, err := b.Choose(balance.Request{Service: "desk", Only: only}, start)
		c.Assert(err, qt.IsNil)
		ticket.End(result, start)
	}
	for range 3 {
		try("b0", balance.Refused)
		try("b1", balance.Refused)
	}
	b.SetRunners([]inventory.Runner{
		{ID: "b2", Service: "desk", Zone: "b", Slots: 6}, {ID: "c0", Service: "desk", Zone: "c", Slots: 6},
	}, func(string) int { return 100000 })
	choice, _, err := b.Choose(balance.Request{Service: "desk"}, start)
	c.Assert(err, qt.IsNil)
	c.Check(choice.Candidates, qt.Equals, 2)
	b.SetSilentZones([]string{"b"})
	choice, _, err = b.Choose(balance.Request{Service: "desk"}, start)
	c.Assert(err, qt.IsNil)
	c.Check(choice.Candidates, qt.Equals, 1, qt.Commentf("with its daemons silent too, the zone is cut"))
}
