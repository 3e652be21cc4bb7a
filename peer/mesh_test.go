package peer_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/peer"
	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// daemon is a mesh on loopback with a fake daemon around it.
type daemon struct {
	*handler
	mesh   *peer.Mesh
	common telemetry.Common
	vm     platform.VM
	stop   context.CancelFunc
}

// start runs a mesh on the address; the exchanges happen on ticks of fake.
func start(c *qt.C, fake clock.Clock, name, incarnation, address string) *daemon {
	common := telemetry.NewCommon()
	common.Clock = fake
	identity := peer.Identity{Daemon: name, Zone: "ZoneA", Region: "Region", Incarnation: incarnation}
	d := &daemon{handler: newHandler(), common: common}
	d.mesh = peer.New(common, peer.DefaultOptions(identity, address, 1), timeline.NewClock(common), d.handler)
	c.Assert(d.mesh.Listen(), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = func() {
		cancel()
		<-d.mesh.Done()
	}
	d.vm = platform.VM{
		Name: name, Role: platform.RoleEntry, Zone: "ZoneA", Region: "Region", PeerAddress: d.mesh.Address(),
	}
	go d.mesh.Run(ctx)
	c.Cleanup(d.stop)
	return d
}

// connect lists the daemons and the runner R1 at all of them.
func connect(daemons ...*daemon) {
	vms := []platform.VM{{Name: "R1", Role: platform.RoleRunner, Zone: "ZoneA", Region: "Region"}}
	for _, d := range daemons {
		vms = append(vms, d.vm)
	}
	for _, d := range daemons {
		d.mesh.SetVMs(vms)
	}
}

func TestFactsReachThePeer(t *testing.T) {
	c := qt.New(t)
	fake := clock.NewFake(time.Now())
	a := start(c, fake, "A", "1", "127.0.0.1:0")
	b := start(c, fake, "B", "1", "127.0.0.1:0")
	connect(a, b)

	b.change(func(h *handler) {
		h.own.Loads = []peer.BackendLoad{{Backend: "R1", InFlight: 3, QueuedTokens: 700}}
	})
	b.mesh.Tell()
	c.Assert(fake.BlockUntilContext(context.Background(), 2), qt.IsNil)
	fake.Advance(peer.DefaultOptions(peer.Identity{}, "", 0).Interval)
	news := <-a.news
	c.Assert(news.Loads, qt.HasLen, 1)
	c.Assert(news.Loads[0].Reporter, qt.Equals, "B")
	c.Assert(news.Loads[0].InFlight, qt.Equals, 3)
	c.Assert(news.Loads[0].QueuedTokens, qt.Equals, 700)

	a.change(func(h *handler) { h.own.Leaving = []peer.Leaving{{VM: "R1"}} })
	a.mesh.Tell()
	leaving := <-b.news
	c.Assert(leaving.Leaving, qt.HasLen, 1)
	c.Assert(leaving.Leaving[0].VM, qt.Equals, "R1")
	incarnation, known := b.mesh.Incarnation("A")
	c.Assert(known, qt.IsTrue)
	c.Assert(incarnation, qt.Equals, "1")
}

func TestConfigurationAndAnswersAreFetched(t *testing.T) {
	c := qt.New(t)
	fake := clock.NewFake(time.Now())
	a := start(c, fake, "A", "1", "127.0.0.1:0")
	b := start(c, fake, "B", "1", "127.0.0.1:0")
	connect(a, b)
	ctx := context.Background()

	var none *peer.NoConfigurationError
	_, _, err := a.mesh.Fetch(ctx)
	c.Assert(err, qt.ErrorAs, &none)

	b.change(func(h *handler) {
		h.snapshot, h.offset = []byte("plans"), 7
		h.answers["K"] = peer.Answer{
			State: peer.Final, Outcome: "Answered", Status: 200,
			Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("placed"),
		}
	})
	snapshot, offset, err := a.mesh.Fetch(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(string(snapshot), qt.Equals, "plans")
	c.Assert(offset, qt.Equals, uint64(7))

	c.Assert(fake.BlockUntilContext(ctx, 2), qt.IsNil)
	fake.Advance(time.Second)
	c.Assert(<-a.installed, qt.Equals, uint64(7))

	answer, err := a.mesh.Answer(ctx, "B", "1", "K")
	c.Assert(err, qt.IsNil)
	c.Assert(answer, qt.DeepEquals, b.answers["K"])
	answer, err = a.mesh.Answer(ctx, "B", "1", "Other")
	c.Assert(err, qt.IsNil)
	c.Assert(answer.State, qt.Equals, peer.NotFound)

	var restarted *peer.RestartedError
	_, err = a.mesh.Answer(ctx, "B", "0", "K")
	c.Assert(err, qt.ErrorAs, &restarted)
	c.Assert(restarted.Found, qt.Equals, "1")
	var unknown *peer.UnknownPeerError
	_, err = a.mesh.Answer(ctx, "C", "1", "K")
	c.Assert(err, qt.ErrorAs, &unknown)
}
