package membership_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/fleet"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/membership"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// fakeHandler is a daemon's side of the exchange.
type fakeHandler struct {
	mutex  sync.Mutex
	ends   []membership.TopicEnd
	heard  map[string]int
	toNew  int
	told   []uint64
	extras latest.Extract
}

func (h *fakeHandler) Digest(toNew bool) membership.Digest {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if toNew {
		h.toNew++
	}
	return membership.Digest{Ends: h.ends}
}

func (h *fakeHandler) Hear(digest membership.Digest, _ time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.heard == nil {
		h.heard = make(map[string]int)
	}
	h.heard[digest.Sender.Name]++
}

func (h *fakeHandler) Records(membership.RecordsRequest) membership.RecordsReply {
	return membership.RecordsReply{Extract: h.extras, Age: time.Second}
}

func (h *fakeHandler) Told(news feed.News) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.told = append(h.told, news.Extract.End)
}

// hasBeenTold counts how often the daemon was told of an end.
func (h *fakeHandler) hasBeenTold(end uint64) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	count := 0
	for _, told := range h.told {
		if told == end {
			count++
		}
	}
	return count
}

func (h *fakeHandler) tell(ends ...membership.TopicEnd) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.ends = ends
}

func (h *fakeHandler) hears(name string) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.heard[name]
}

// daemon is one member of a group on loopback.
type daemon struct {
	member  membership.Member
	handler *fakeHandler
	group   *membership.Group
	cancel  context.CancelFunc
}

func start(c *qt.C, name, zone string, seeds ...string) *daemon {
	address, err := fleet.FreeAddress()
	c.Assert(err, qt.IsNil)
	return startAt(c, membership.Member{Name: name, Address: address, Zone: zone, Incarnation: "first"}, seeds...)
}

func startAt(c *qt.C, member membership.Member, seeds ...string) *daemon {
	return startWith(c, membership.DefaultOptions(member, seeds))
}

// startWith starts a daemon whose times are short.
func startWith(c *qt.C, options membership.Options) *daemon {
	d := &daemon{member: options.Self, handler: &fakeHandler{}}
	options.Period, options.RelayPeriod, options.SilentPeriod = 40*time.Millisecond, 20*time.Millisecond, 100*time.Millisecond
	options.MuteAfter, options.SilentAfter = 300*time.Millisecond, 400*time.Millisecond
	common := telemetry.NewCommon()
	common.Log = logr.Discard()
	d.group = membership.New(common, options, d.handler)
	c.Assert(d.group.Listen(), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go d.group.Run(ctx)
	c.Cleanup(d.stop)
	return d
}

func (d *daemon) stop() {
	d.cancel()
	<-d.group.Done()
}

func eventually(c *qt.C, what string, holds func() bool) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.Fatalf("never: %s", what)
}

func TestDaemonsLearnOfEachOtherThroughASeed(t *testing.T) {
	c := qt.New(t)
	seed := start(c, "a", "zone-1")
	b := start(c, "b", "zone-2", seed.member.Address)
	eventually(c, "the seed hears b", func() bool { return seed.handler.hears("b") > 0 })
	late := start(c, "c", "zone-3", seed.member.Address)
	eventually(c, "b hears c", func() bool { return b.handler.hears("c") > 1 })
	eventually(c, "c hears b", func() bool { return late.handler.hears("b") > 1 })
	c.Check(late.group.Known(), qt.Equals, 3)
	seed.handler.mutex.Lock()
	defer seed.handler.mutex.Unlock()
	c.Check(seed.handler.toNew > 0, qt.IsTrue)
}

// TestSeedThatStartsLast is a start of all daemons at once, of which the seed is
// the last to listen.
func TestSeedThatStartsLast(t *testing.T) {
	c := qt.New(t)
	address, err := fleet.FreeAddress()
	c.Assert(err, qt.IsNil)
	early := start(c, "b", "zone-2", address)
	time.Sleep(100 * time.Millisecond)
	seed := startAt(c, membership.Member{Name: "a", Address: address, Zone: "zone-1", Incarnation: "first"})
	eventually(c, "the early one hears the seed", func() bool { return early.handler.hears("a") > 0 })
	eventually(c, "the seed hears the early one", func() bool { return seed.handler.hears("b") > 0 })
}

func TestOneDaemonReadsForTheOthers(t *testing.T) {
	c := qt.New(t)
	a := start(c, "a", "zone-1")
	b := start(c, "b", "zone-2", a.member.Address)
	eventually(c, "both hear", func() bool { return a.handler.hears("b") > 0 && b.handler.hears("a") > 0 })
	c.Check(a.group.ReadsForOthers(), qt.IsTrue)
	c.Check(b.group.ReadsForOthers(), qt.IsFalse)
	a.stop()
	eventually(c, "b reads itself", b.group.ReadsForOthers)
}

func TestZoneIsMuteWhenNoneOfItsDaemonsIsHeard(t *testing.T) {
	c := qt.New(t)
	a := start(c, "a", "zone-1")
	b := start(c, "b", "zone-2", a.member.Address)
	d := start(c, "d", "zone-2", a.member.Address)
	eventually(c, "a hears all", func() bool { return a.handler.hears("b") > 0 && a.handler.hears("d") > 0 })
	c.Check(a.group.MuteZones(), qt.HasLen, 0)
	b.stop()
	time.Sleep(500 * time.Millisecond)
	c.Check(a.group.MuteZones(), qt.HasLen, 0)
	d.stop()
	eventually(c, "the zone is mute", func() bool { return len(a.group.MuteZones()) == 1 })
}

func TestRecordsComeFromTheDaemonThatKnowsMost(t *testing.T) {
	c := qt.New(t)
	a := start(c, "a", "zone-1")
	_, found := a.group.Newest("x")
	c.Check(found, qt.IsFalse)
	knowing := start(c, "b", "zone-2", a.member.Address)
	knowing.handler.extras = latest.Extract{End: 9, Records: []latest.Record{{Key: "k", Value: []byte("v"), Offset: 8}}}
	knowing.handler.tell(membership.TopicEnd{Topic: "x", End: 9, Age: 3 * time.Second})
	other := start(c, "d", "zone-2", a.member.Address)
	other.handler.tell(membership.TopicEnd{Topic: "x", End: 4})
	eventually(c, "a hears all", func() bool {
		newest, found := a.group.Newest("x")
		return found && newest.End == 9 && a.handler.hears("d") > 1
	})
	newest, _ := a.group.Newest("x")
	c.Check(newest.Age >= 3*time.Second, qt.IsTrue)
	extract, age, err := a.group.Records(context.Background(), "x", 5)
	c.Assert(err, qt.IsNil)
	c.Check(extract, qt.DeepEquals, knowing.handler.extras)
	c.Check(age, qt.Equals, time.Second)
}

func TestFarewellReachesEveryDaemon(t *testing.T) {
	c := qt.New(t)
	a := start(c, "a", "zone-1")
	b := start(c, "b", "zone-2", a.member.Address)
	eventually(c, "both hear", func() bool { return a.handler.hears("b") > 0 && b.handler.hears("a") > 0 })
	before := a.handler.hears("b")
	b.group.Farewell(context.Background())
	c.Check(a.handler.hears("b") > before, qt.IsTrue)
}

// TestLargeGroupHearsThroughRelays is a group of two zones, too large for each
// daemon to exchange with every other one, that then loses the relays of a zone.
func TestLargeGroupHearsThroughRelays(t *testing.T) {
	c := qt.New(t)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	var daemons []*daemon
	for i, name := range names {
		address, err := fleet.FreeAddress()
		c.Assert(err, qt.IsNil)
		options := membership.DefaultOptions(membership.Member{
			Name: name, Address: address, Zone: []string{"zone-1", "zone-2"}[i%2], Incarnation: "first",
		}, nil)
		options.MeshMost, options.TellMost = 4, 4
		if i > 0 {
			options.Seeds = []string{daemons[0].member.Address}
		}
		daemons = append(daemons, startWith(c, options))
	}
	for _, d := range daemons {
		for _, other := range daemons {
			if d != other {
				eventually(c, d.member.Name+" hears "+other.member.Name, func() bool { return d.handler.hears(other.member.Name) > 5 })
			}
		}
	}
	daemons[0].group.Tell(feed.News{Topic: "x", Extract: latest.Extract{End: 7}})
	for _, d := range daemons[1:] {
		eventually(c, d.member.Name+" is told", func() bool { return d.handler.hasBeenTold(7) > 0 })
	}
	time.Sleep(100 * time.Millisecond)
	for _, d := range daemons[1:] {
		c.Check(d.handler.hasBeenTold(7), qt.Equals, 1, qt.Commentf("at %s", d.member.Name))
	}
	daemons[0].stop()
	daemons[2].stop()
	left := []*daemon{daemons[1], daemons[3], daemons[4], daemons[5], daemons[6], daemons[7]}
	eventually(c, "others relay", func() bool { return left[2].group.ReadsForOthers() == false && daemons[1].group.ReadsForOthers() })
	for _, d := range left {
		for _, other := range left {
			if d == other {
				continue
			}
			before := d.handler.hears(other.member.Name)
			eventually(c, d.member.Name+" goes on to hear "+other.member.Name, func() bool {
				return d.handler.hears(other.member.Name) > before+5
			})
		}
	}
}

// TestNewsReachesASmallGroupDirectly is news that nobody passes on.
func TestNewsReachesASmallGroupDirectly(t *testing.T) {
	c := qt.New(t)
	a := start(c, "a", "zone-1")
	others := []*daemon{start(c, "b", "zone-1", a.member.Address), start(c, "d", "zone-2", a.member.Address)}
	for _, d := range others {
		eventually(c, "a hears "+d.member.Name, func() bool { return a.handler.hears(d.member.Name) > 0 })
	}
	a.group.Tell(feed.News{Topic: "x", Extract: latest.Extract{End: 7}})
	for _, d := range others {
		eventually(c, d.member.Name+" is told", func() bool { return d.handler.hasBeenTold(7) == 1 })
	}
	c.Check(a.handler.hasBeenTold(7), qt.Equals, 0)
}
