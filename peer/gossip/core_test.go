package gossip_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/peer/gossip"
)

// partition returns a function that blocks messages between the listed daemons and
// all others; with oneWay only those sent by the listed daemons.
func partition(oneWay bool, listed ...string) func(from, to string) bool {
	side := make(map[string]bool)
	for _, name := range listed {
		side[name] = true
	}
	return func(from, to string) bool {
		if oneWay {
			return side[from] && !side[to]
		}
		return side[from] != side[to]
	}
}

func TestDaemonsConvergeAfterFaults(t *testing.T) {
	for _, scenario := range []struct {
		name                      string
		blocked                   func(from, to string) bool
		lossRate, duplicationRate float64
	}{
		{name: "no fault"},
		{name: "partition both ways", blocked: partition(false, "D0", "D1", "D2", "D3")},
		{name: "partition one way", blocked: partition(true, "D0", "D1", "D2", "D3")},
		{name: "one daemon alone", blocked: partition(false, "D5")},
		{name: "lost and duplicated messages", lossRate: 0.3, duplicationRate: 0.3},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(10) {
				n := newNetwork(seed, 9, 1)
				if scenario.blocked != nil {
					n.blocked = scenario.blocked
				}
				n.lossRate, n.duplicationRate = scenario.lossRate, scenario.duplicationRate
				for i := range 40 {
					n.setLoad(n.names[i%9], "R1", i)
					n.step()
				}
				n.own["D0"].Leaving = []gossip.Leaving{{VM: "R0", Deadline: n.now.Add(time.Minute)}}
				n.own["D8"].Suspects = []gossip.Suspect{{Fingerprint: 7, Crashes: 2, Expires: n.now.Add(time.Hour)}}
				n.step()

				n.blocked = func(string, string) bool { return false }
				n.lossRate, n.duplicationRate = 0, 0
				steps := n.stepsUntil(60, func() bool { return n.loadsAgree() && n.countInformed("R0") == 8 })

				c.Check(steps < 60, qt.IsTrue, qt.Commentf("seed %d", seed))
				c.Check(n.regressions, qt.Equals, 0)
				c.Check(n.views["D0"].suspects[7], qt.Equals, 2)
			}
		})
	}
}

func TestLeavingNoticeReachesAllDaemonsWithinAFewRounds(t *testing.T) {
	for _, scenario := range []struct {
		name           string
		daemons, zones int
		rounds         int
	}{
		{name: "seven daemons in four zones", daemons: 7, zones: 4, rounds: 1},
		{name: "one zone", daemons: 28, zones: 1, rounds: 4},
		{name: "four zones", daemons: 112, zones: 4, rounds: 6},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(10) {
				n := newNetwork(seed, scenario.daemons, scenario.zones)
				n.step()
				n.own["D0"].Leaving = []gossip.Leaving{{VM: "R0"}}
				steps := n.stepsUntil(20, func() bool { return n.countInformed("R0") == scenario.daemons-1 })
				c.Check(steps <= scenario.rounds, qt.IsTrue, qt.Commentf("seed %d took %d rounds", seed, steps))
			}
		})
	}
}

// A daemon restarts with a clock behind that of its earlier process, so that the
// versions of its reports start below those that its peers hold.
func TestReportsOfRestartedDaemonWithSlowClockAreAccepted(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 3, 1)
	n.setLoad("D0", "R1", 5)
	n.stepsUntil(20, n.loadsAgree)

	self := gossip.Identity{Daemon: "D0", Zone: "Zone0", Region: "Region"}
	restarted := gossip.New(self, n.random)
	restarted.SetVMs(n.vms)
	slow := n.now.Add(-time.Minute)
	restarted.Publish(gossip.Digest{Loads: []gossip.BackendLoad{{Backend: "R1", InFlight: 1}}}, slow)
	ask := n.cores["D1"].Request("D0", n.stamp())
	reply, _ := restarted.Reply(ask, n.stamp(), slow)
	update := n.cores["D1"].Receive(reply, n.now)

	c.Assert(update.Loads, qt.HasLen, 1)
	c.Assert(update.Loads[0].InFlight, qt.Equals, 1)
}

func TestOtherZonesOfALargeRegionGetSummariesOnly(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 20, 2)
	n.setLoad("D0", "R0", 3)
	n.setLoad("D2", "R2", 4)
	n.own["D4"].Leaving = []gossip.Leaving{{VM: "R8"}}
	n.stepsUntil(40, func() bool { return n.views["D1"].zones["Zone0"].Running == 7 })

	c.Assert(n.views["D1"].zones["Zone0"], qt.Equals, gossip.Summary{
		Zone: "Zone0", Model: "Small", Backends: 4, Running: 7,
	})
	c.Assert(n.views["D1"].loads, qt.HasLen, 0)
	c.Assert(n.views["D4"].loads, qt.HasLen, 2)
}

func TestDemandIsKnownPerDaemonInTheGroupAndAsSumOutside(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 20, 2)
	for _, name := range n.names {
		n.own[name].Demands = []gossip.Demand{{Plan: "Gold", Rate: 2}}
	}
	for range 60 {
		n.step()
	}
	for i, name := range n.names {
		c.Check(n.views[name].demands, qt.HasLen, 9+1)
		c.Check(n.views[name].demands[fmt.Sprint("Region/Zone", 1-i%2)], qt.Equals, 20.0)
	}

	n.blocked = partition(false, n.names...)
	n.own["D0"].Demands = []gossip.Demand{{Plan: "Gold", Rate: 2.1}}
	n.step()
	c.Check(n.views["D2"].demands["D0"], qt.Equals, 2.0)
	n.own["D0"].Demands = []gossip.Demand{{Plan: "Gold", Rate: 8}}
	n.stepsUntil(20, func() bool { return n.views["D2"].demands["D0"] == 8 })
	c.Check(n.views["D2"].demands["D0"], qt.Equals, 8.0)
}

func TestReportWithGapIsRejectedAndRequestedAgain(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 2, 1)
	message := gossip.Message{Reports: []gossip.Report{{
		Reporter: gossip.NewID("D1"), Base: 5, Version: 9,
		Loads: []gossip.Load{{Backend: gossip.NewID("R1"), InFlight: 2}},
	}}}

	update := n.cores["D0"].Receive(message, n.now)

	c.Assert(update.Loads, qt.HasLen, 0)
	for _, known := range n.cores["D0"].Request("D1", n.stamp()).KnownVersions {
		c.Check(known.Version, qt.Equals, uint64(0))
	}
}

func TestRestartedDaemonLearnsAllNotices(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 4, 1)
	n.own["D0"].Leaving = []gossip.Leaving{{VM: "R0"}}
	n.stepsUntil(10, func() bool { return n.countInformed("R0") == 3 })
	n.own["D0"].Leaving = nil

	n.start("D3", "Zone0")
	n.cores["D3"].SetVMs(n.vms)
	n.exchange("D3", "D1")

	c.Assert(n.countInformed("R0"), qt.Equals, 3)
}

func TestDaemonsWithDifferentVMListsExchangeReports(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 5, 1)
	n.step()
	old := slices.Clone(n.vms)
	old[len(old)-1].Name = "D9"
	for _, lagging := range []string{"D0", "D1"} {
		n.cores[lagging].SetVMs(old)
	}
	for i, name := range n.names {
		n.setLoad(name, "R1", i+1)
	}
	n.stepsUntil(20, func() bool { return false })

	c.Assert(n.views["D0"].loads["D3/R1"].InFlight, qt.Equals, 4)
	c.Assert(n.views["D3"].loads["D0/R1"].InFlight, qt.Equals, 1)
	c.Assert(n.views["D2"].loads["D4/R1"].InFlight, qt.Equals, 5)
}

func TestUnreachablePeerIsCalledLessOften(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 2, 1)
	calls := 0
	n.blocked = func(_, to string) bool {
		if to == "D1" {
			calls++
		}
		return true
	}
	for range 120 {
		n.step()
	}
	c.Assert(calls < 12, qt.IsTrue, qt.Commentf("%d calls in a minute", calls))

	n.blocked = func(string, string) bool { return false }
	n.setLoad("D1", "R1", 3)
	c.Assert(n.stepsUntil(40, n.loadsAgree) < 40, qt.IsTrue)
}

func TestCompactRequestIsExpandedForEqualGroupsOnly(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 3, 1)
	n.setLoad("D2", "R1", 1)
	n.step()
	request := gossip.Message{
		Sender: gossip.Identity{Daemon: "D1"}, Compact: true, KnownVersions: make([]gossip.KnownVersion, 3),
		GroupHash: n.cores["D1"].Request("D2", n.stamp()).GroupHash,
	}

	reply, _ := n.cores["D2"].Reply(request, n.stamp(), n.now)
	c.Assert(reply.Reports, qt.Not(qt.HasLen), 0)
	request.GroupHash++
	reply, _ = n.cores["D2"].Reply(request, n.stamp(), n.now)
	c.Assert(reply.Reports, qt.HasLen, 0)
}
