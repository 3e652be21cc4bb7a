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

// newGroupView returns the Group of one daemon that has just received digests of
// all others.
func newGroupView(c *qt.C, size, zones, self int) *Group {
	common := telemetry.NewCommon()
	common.Clock = clock.NewFake(start)
	options := DefaultOptions(testMember(self, zones), nil)
	options.MaxFullMesh = 16
	g := New(common, options, nil)
	for i := range size {
		if i != self {
			g.add(testMember(i, zones)).digestMadeAt = start
		}
	}
	c.Assert(g.Size(), qt.Equals, size)
	return g
}

func testMember(i, zones int) Member {
	return Member{Name: fmt.Sprintf("edge-%03d", i), Zone: fmt.Sprint("zone-", i%zones), Incarnation: "first"}
}

// TestEachDigestReachesEachDaemon follows the digest of each daemon over the links
// of groups of several sizes, up to the largest planned fleet.
func TestEachDigestReachesEachDaemon(t *testing.T) {
	for _, scenario := range []struct {
		daemons, zones int
		// maxLinks bounds the number of pairs that exchange directly.
		maxLinks int
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
				views[i] = newGroupView(c, scenario.daemons, scenario.zones, i).newTopology(start)
			}
			links := exchangeLinks(views, scenario.zones)
			total := 0
			for _, others := range links {
				total += len(others)
			}
			c.Check(total/2 <= scenario.maxLinks, qt.IsTrue, qt.Commentf("%d links", total/2))
			for sender := range views {
				c.Assert(countReached(views, links, scenario.zones, sender), qt.Equals, scenario.daemons, qt.Commentf("from %d", sender))
			}
		})
	}
}

// exchangeLinks returns for each daemon the others with which it exchanges
// directly.
func exchangeLinks(views []topology, zones int) [][]int {
	links := make([][]int, len(views))
	for i := range views {
		for j := range views {
			if i != j && views[i].initiates(testMember(j, zones)) {
				links[i] = append(links[i], j)
				links[j] = append(links[j], i)
			}
		}
	}
	return links
}

// countReached counts the daemons that the sender's digest reaches, itself
// included.
func countReached(views []topology, links [][]int, zones, sender int) int {
	reached := map[int]bool{sender: true}
	from := testMember(sender, zones)
	queue := []int{sender}
	for len(queue) > 0 {
		i := queue[0]
		queue = queue[1:]
		for _, j := range links[i] {
			if !reached[j] && (i == sender || views[i].forwards(testMember(j, zones), from)) {
				reached[j] = true
				queue = append(queue, j)
			}
		}
	}
	return len(reached)
}

// TestDownDaemonIsNotARelay covers the loss of both relays of a zone.
func TestDownDaemonIsNotARelay(t *testing.T) {
	c := qt.New(t)
	g := newGroupView(c, 61, 4, 20)
	c.Check(g.newTopology(start).relays["edge-000"], qt.IsTrue)
	c.Check(g.newTopology(start).relays["edge-004"], qt.IsTrue)
	for _, name := range []string{"edge-000", "edge-004"} {
		g.peers[name].digestMadeAt = start.Add(-g.options.DownAfter - g.extraDigestAge())
	}
	topo := g.newTopology(start)
	c.Check(topo.relays["edge-000"], qt.IsFalse)
	c.Check(topo.relays["edge-008"], qt.IsTrue)
	c.Check(topo.relays["edge-012"], qt.IsTrue)
}

func TestOnlyNewerDigestsAreApplied(t *testing.T) {
	for _, scenario := range []struct {
		name     string
		id       DigestID
		age      time.Duration
		isDirect bool
		isNewer  bool
	}{
		{"next digest", DigestID{"a", 2, 6}, 0, true, true},
		{"same digest on another path", DigestID{"a", 2, 5}, 0, false, false},
		{"earlier digest that was delayed", DigestID{"a", 2, 4}, 0, false, false},
		{"first digest of the next incarnation", DigestID{"a", 3, 1}, 0, true, true},
		{"relayed digest of the next incarnation", DigestID{"a", 3, 2}, 0, false, true},
		{"late relayed digest of an earlier incarnation", DigestID{"a", 1, 90}, 2 * time.Second, false, false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			p := &peer{digestID: DigestID{"a", 2, 5}, digestContent: []byte{}, digestMadeAt: start}
			made := start.Add(time.Second - scenario.age)
			c.Check(p.isNewerDigest(scenario.id, made, scenario.isDirect), qt.Equals, scenario.isNewer)
		})
	}
}

// TestHeldDigestsAreNotRelayedAgain covers a relay that replies to a daemon of its
// zone.
func TestHeldDigestsAreNotRelayedAgain(t *testing.T) {
	c := qt.New(t)
	g := newGroupView(c, 61, 4, 0)
	for name, p := range g.peers {
		p.digestID, p.digestContent = DigestID{Daemon: name, Sequence: 3}, []byte{}
	}
	topo := g.newTopology(start)
	to := testMember(20, 4)
	c.Check(g.digestsToRelay(topo, to, nil, start), qt.HasLen, 59)
	held := []DigestID{{Daemon: "edge-001", Sequence: 3}, {Daemon: "edge-002", Sequence: 2}}
	c.Check(g.digestsToRelay(topo, to, held, start), qt.HasLen, 58)
	c.Check(g.digestsToRelay(topo, testMember(21, 4), nil, start), qt.HasLen, 0, qt.Commentf("a daemon of another zone that is no relay gets nothing"))
	c.Check(g.digestsToRelay(topo, testMember(1, 4), nil, start), qt.HasLen, 15, qt.Commentf("a relay of another zone gets the digests of this zone"))
	g.peers["edge-001"].digestMadeAt = start.Add(-g.options.UnreachableAfter - g.extraDigestAge())
	c.Check(g.digestsToRelay(topo, to, nil, start), qt.HasLen, 58, qt.Commentf("an old digest is not relayed"))
}

// TestRelayDelayDoesNotMakeZonesSilent covers a daemon that receives the digests of all
// other zones through relays, each of which adds the delay of a period.
func TestRelayDelayDoesNotMakeZonesSilent(t *testing.T) {
	c := qt.New(t)
	g := newGroupView(c, 61, 4, 20)
	delay := 6 * g.options.RelayPeriod
	for _, p := range g.peers {
		p.digestMadeAt = start.Add(-delay)
	}
	c.Assert(delay > g.options.UnreachableAfter, qt.IsTrue, qt.Commentf("without the age that relays add, the zones would be silent"))
	c.Check(g.SilentZones(), qt.HasLen, 0)
	small := newGroupView(c, 8, 4, 0)
	for _, p := range small.peers {
		p.digestMadeAt = start.Add(-delay)
	}
	c.Check(small.SilentZones(), qt.HasLen, 4)
}

// TestLargestVMsAreRelays covers a zone of small VMs and two large ones.
func TestLargestVMsAreRelays(t *testing.T) {
	c := qt.New(t)
	g := newGroupView(c, 61, 4, 0)
	c.Check(g.ReadsForOthers(), qt.IsTrue)
	for _, i := range []int{40, 44} {
		large := testMember(i, 4)
		large.Capacity = 800
		g.add(large)
	}
	topo := g.newTopology(start)
	c.Check(topo.relays["edge-000"], qt.IsFalse)
	c.Check(topo.relays["edge-040"], qt.IsTrue)
	c.Check(topo.relays["edge-044"], qt.IsTrue)
	c.Check(g.ReadsForOthers(), qt.IsFalse)
}

// TestExchangeRateIsBoundedInFullMesh covers groups that are too small for relays.
func TestExchangeRateIsBoundedInFullMesh(t *testing.T) {
	c := qt.New(t)
	options := DefaultOptions(testMember(0, 4), nil)
	for _, size := range []int{7, 32, 61, 99} {
		g := New(telemetry.NewCommon(), options, nil)
		for i := 1; i < size; i++ {
			g.add(testMember(i, 4)).digestMadeAt = start
		}
		perSecond := float64(size-1) / g.period().Seconds()
		c.Check(perSecond <= 81, qt.IsTrue, qt.Commentf("%d daemons: %.0f exchanges a second", size, perSecond))
		c.Check(g.extraDigestAge() >= g.period()-options.Period, qt.IsTrue)
	}
}

// TestUpdateTakesTwoHopsInLargeMesh covers an update that a reader of the store sends
// to its own zone, and through a relay of another zone to the daemons of that zone.
func TestUpdateTakesTwoHopsInLargeMesh(t *testing.T) {
	c := qt.New(t)
	view := func(self int) topology {
		g := New(telemetry.NewCommon(), DefaultOptions(testMember(self, 4), nil), nil)
		for i := range 61 {
			if i != self {
				g.add(testMember(i, 4)).digestMadeAt = start
			}
		}
		return g.newTopology(start)
	}
	reader, noSender := testMember(0, 4), Member{}
	c.Check(view(0).sendsUpdate(testMember(4, 4), noSender), qt.IsTrue)
	c.Check(view(0).sendsUpdate(testMember(1, 4), noSender), qt.IsTrue)
	c.Check(view(0).sendsUpdate(testMember(5, 4), noSender), qt.IsFalse, qt.Commentf("the first relay of its zone sends it"))
	c.Check(view(1).sendsUpdate(testMember(9, 4), reader), qt.IsTrue)
	c.Check(view(1).sendsUpdate(testMember(2, 4), reader), qt.IsFalse)
	c.Check(view(9).sendsUpdate(testMember(13, 4), reader), qt.IsFalse, qt.Commentf("a daemon that is not a relay forwards nothing"))
}
