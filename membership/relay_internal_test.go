package membership

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

var start = time.Unix(1000, 0)

// groupOf returns the view that one daemon has of a group of daemons in zones,
// all of which are heard.
func groupOf(c *qt.C, size, zones, self int) *Group {
	common := telemetry.NewCommon()
	common.Clock = clock.NewFake(start)
	options := DefaultOptions(memberOf(self, zones), nil)
	options.MeshMost = 16
	g := New(common, options, nil)
	for i := range size {
		if i != self {
			g.add(memberOf(i, zones)).heard = start
		}
	}
	c.Assert(g.Known(), qt.Equals, size)
	return g
}

func memberOf(i, zones int) Member {
	return Member{Name: fmt.Sprintf("edge-%03d", i), Zone: fmt.Sprint("zone-", i%zones), Incarnation: "first"}
}

// TestEachDigestReachesEachDaemon follows what one daemon tells over the links of
// groups of several sizes, up to the largest fleet that is planned for.
func TestEachDigestReachesEachDaemon(t *testing.T) {
	for _, scenario := range []struct {
		daemons, zones int
		// links bounds the pairs that exchange.
		links int
	}{
		{8, 4, 28},
		{61, 4, 2*61 + 28},
		{74, 5, 2*74 + 45},
		{390, 18, 2*390 + 630},
	} {
		t.Run(fmt.Sprint(scenario.daemons), func(t *testing.T) {
			c := qt.New(t)
			views := make([]topology, scenario.daemons)
			for i := range views {
				views[i] = groupOf(c, scenario.daemons, scenario.zones, i).newTopology(start)
			}
			links := linksOf(views, scenario.zones)
			total := 0
			for _, others := range links {
				total += len(others)
			}
			c.Check(total/2 <= scenario.links, qt.IsTrue, qt.Commentf("%d links", total/2))
			for sender := range views {
				c.Assert(reached(views, links, scenario.zones, sender), qt.Equals, scenario.daemons, qt.Commentf("from %d", sender))
			}
		})
	}
}

// linksOf returns the daemons with which each one exchanges.
func linksOf(views []topology, zones int) [][]int {
	links := make([][]int, len(views))
	for i := range views {
		for j := range views {
			if i != j && views[i].calls(memberOf(j, zones)) {
				links[i] = append(links[i], j)
				links[j] = append(links[j], i)
			}
		}
	}
	return links
}

// reached counts the daemons that hear of the sender, itself included.
func reached(views []topology, links [][]int, zones, sender int) int {
	knows := map[int]bool{sender: true}
	from := memberOf(sender, zones)
	queue := []int{sender}
	for len(queue) > 0 {
		i := queue[0]
		queue = queue[1:]
		for _, j := range links[i] {
			if !knows[j] && (i == sender || views[i].passesOn(memberOf(j, zones), from)) {
				knows[j] = true
				queue = append(queue, j)
			}
		}
	}
	return len(knows)
}

// TestSilentDaemonIsNoRelay is the loss of both relays of a zone.
func TestSilentDaemonIsNoRelay(t *testing.T) {
	c := qt.New(t)
	g := groupOf(c, 61, 4, 20)
	c.Check(g.newTopology(start).relays["edge-000"], qt.IsTrue)
	c.Check(g.newTopology(start).relays["edge-004"], qt.IsTrue)
	for _, name := range []string{"edge-000", "edge-004"} {
		g.peers[name].heard = start.Add(-g.options.SilentAfter - g.extraAge())
	}
	links := g.newTopology(start)
	c.Check(links.relays["edge-000"], qt.IsFalse)
	c.Check(links.relays["edge-008"], qt.IsTrue)
	c.Check(links.relays["edge-012"], qt.IsTrue)
}

func TestOnlyNewsIsTaken(t *testing.T) {
	for _, scenario := range []struct {
		name     string
		held     Held
		age      time.Duration
		isDirect bool
		news     bool
	}{
		{"the next one", Held{"a", 2, 6}, 0, true, true},
		{"the same one on another way", Held{"a", 2, 5}, 0, false, false},
		{"an earlier one that took longer", Held{"a", 2, 4}, 0, false, false},
		{"the first one of the next start", Held{"a", 3, 1}, 0, true, true},
		{"one of the next start that was passed on", Held{"a", 3, 2}, 0, false, true},
		{"one of an earlier start that was passed on late", Held{"a", 1, 90}, 2 * time.Second, false, false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			p := &peer{last: Held{"a", 2, 5}, content: []byte{}, heard: start}
			made := start.Add(time.Second - scenario.age)
			c.Check(p.isNews(scenario.held, made, scenario.isDirect), qt.Equals, scenario.news)
		})
	}
}

// TestWhatIsHeldIsNotSentAgain is a relay that answers a daemon of its zone.
func TestWhatIsHeldIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	g := groupOf(c, 61, 4, 0)
	for name, p := range g.peers {
		p.last, p.content = Held{Daemon: name, Sequence: 3}, []byte{}
	}
	links := g.newTopology(start)
	to := memberOf(20, 4)
	c.Check(g.relayed(links, to, nil, start), qt.HasLen, 59)
	held := []Held{{Daemon: "edge-001", Sequence: 3}, {Daemon: "edge-002", Sequence: 2}}
	c.Check(g.relayed(links, to, held, start), qt.HasLen, 58)
	c.Check(g.relayed(links, memberOf(21, 4), nil, start), qt.HasLen, 0, qt.Commentf("another zone has relays of its own"))
	c.Check(g.relayed(links, memberOf(1, 4), nil, start), qt.HasLen, 15, qt.Commentf("relays of other zones get the own zone"))
	g.peers["edge-001"].heard = start.Add(-g.options.MuteAfter - g.extraAge())
	c.Check(g.relayed(links, to, nil, start), qt.HasLen, 58, qt.Commentf("old news is not passed on"))
}

// TestWaitAtRelaysIsNoSilence is a daemon that hears all other zones through relays,
// each of which passes news on a period after it came.
func TestWaitAtRelaysIsNoSilence(t *testing.T) {
	c := qt.New(t)
	g := groupOf(c, 61, 4, 20)
	delay := 6 * g.options.RelayPeriod
	for _, p := range g.peers {
		p.heard = start.Add(-delay)
	}
	c.Assert(delay > g.options.MuteAfter, qt.IsTrue, qt.Commentf("the age that relays add is within the bound"))
	c.Check(g.MuteZones(), qt.HasLen, 0)
	small := groupOf(c, 8, 4, 0)
	for _, p := range small.peers {
		p.heard = start.Add(-delay)
	}
	c.Check(small.MuteZones(), qt.HasLen, 4)
}

// TestLargeVMsRelay is a zone of small VMs and two large ones.
func TestLargeVMsRelay(t *testing.T) {
	c := qt.New(t)
	g := groupOf(c, 61, 4, 0)
	c.Check(g.ReadsForOthers(), qt.IsTrue)
	for _, i := range []int{40, 44} {
		large := memberOf(i, 4)
		large.Capacity = 800
		g.add(large)
	}
	links := g.newTopology(start)
	c.Check(links.relays["edge-000"], qt.IsFalse)
	c.Check(links.relays["edge-040"], qt.IsTrue)
	c.Check(links.relays["edge-044"], qt.IsTrue)
	c.Check(g.ReadsForOthers(), qt.IsFalse)
}

// TestLargeMeshExchangesNoMoreOften is a group that is too small for relays.
func TestLargeMeshExchangesNoMoreOften(t *testing.T) {
	c := qt.New(t)
	options := DefaultOptions(memberOf(0, 4), nil)
	for _, size := range []int{7, 32, 61, 99} {
		g := New(telemetry.NewCommon(), options, nil)
		for i := 1; i < size; i++ {
			g.add(memberOf(i, 4)).heard = start
		}
		perSecond := float64(size-1) / g.period().Seconds()
		c.Check(perSecond <= 81, qt.IsTrue, qt.Commentf("%d daemons: %.0f exchanges a second", size, perSecond))
		c.Check(g.extraAge() >= g.period()-options.Period, qt.IsTrue)
	}
}

// TestNewsTakesTwoStepsInALargeMesh is a reader of the store, another daemon of its
// zone, and relays and other daemons of another zone.
func TestNewsTakesTwoStepsInALargeMesh(t *testing.T) {
	c := qt.New(t)
	view := func(self int) topology {
		g := New(telemetry.NewCommon(), DefaultOptions(memberOf(self, 4), nil), nil)
		for i := range 61 {
			if i != self {
				g.add(memberOf(i, 4)).heard = start
			}
		}
		return g.newTopology(start)
	}
	reader, none := memberOf(0, 4), Member{}
	c.Check(view(0).tells(memberOf(4, 4), none), qt.IsTrue)
	c.Check(view(0).tells(memberOf(1, 4), none), qt.IsTrue)
	c.Check(view(0).tells(memberOf(5, 4), none), qt.IsFalse, qt.Commentf("the first one of its zone tells it"))
	c.Check(view(1).tells(memberOf(9, 4), reader), qt.IsTrue)
	c.Check(view(1).tells(memberOf(2, 4), reader), qt.IsFalse)
	c.Check(view(9).tells(memberOf(13, 4), reader), qt.IsFalse, qt.Commentf("it is no relay"))
}
