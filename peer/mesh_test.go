package peer

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/standin/relay"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

func TestExchangeAndTellDeliverFacts(t *testing.T) {
	c, ctx, fake := qt.New(t), context.Background(), newFakeClock()
	a := startDaemon(c, fake, "A", "1", "127.0.0.1:0")
	b := startDaemon(c, fake, "B", "1", "127.0.0.1:0")
	setVMs(a, b)

	b.handler.own.Loads = []BackendLoad{{Backend: "R1", InFlight: 3, QueuedTokens: 700, PrefillRate: 1000}}
	a.handler.own.Demands = []Demand{{Plan: "Gold"}}
	b.handler.own.Demands = []Demand{{Plan: "Gold", Rate: 12.5}}
	a.Publish()
	b.Publish()
	a.exchangeWith(ctx, b.vm)

	update := a.handler.last()
	c.Assert(update.Daemon, qt.Equals, "B")
	c.Assert(update.Loads, qt.HasLen, 1)
	c.Assert(update.Loads[0].Reporter, qt.Equals, "B")
	c.Assert(update.Loads[0].InFlight, qt.Equals, 3)
	c.Assert(update.Loads[0].QueuedTokens, qt.Equals, 704)
	c.Assert(update.Loads[0].PrefillRate, qt.Equals, 1024)
	c.Assert(update.Demands, qt.HasLen, 1)
	c.Assert(update.Demands[0].Rate, qt.Equals, 12.5)
	a.exchangeWith(ctx, b.vm)
	c.Assert(a.handler.last().IsEmpty(), qt.IsTrue)

	a.handler.own.Leaving = []Leaving{{VM: "R1", Deadline: fake.Now().Add(time.Minute)}}
	a.handler.own.Draining = true
	a.Publish()
	a.sendNoticesTo(ctx, b.vm)
	update = b.handler.last()
	c.Assert(update.Draining, qt.IsTrue)
	c.Assert(b.handler.hasLeaving("R1"), qt.IsTrue)
	incarnation, known := b.Incarnation("A")
	c.Assert(known, qt.IsTrue)
	c.Assert(incarnation, qt.Equals, "1")
}

func TestRunStartsExchangesAndPushes(t *testing.T) {
	c, ctx, fake := qt.New(t), context.Background(), newFakeClock()
	a := startDaemon(c, fake, "A", "1", "127.0.0.1:0")
	b := startDaemon(c, fake, "B", "1", "127.0.0.1:0")
	setVMs(a, b)
	b.handler.own.Loads = []BackendLoad{{Backend: "R1", InFlight: 3}}

	c.Assert(fake.BlockUntilContext(ctx, 2), qt.IsNil)
	fake.Advance(a.options.Interval)
	a.handler.await(func(update Digest) bool { return len(update.Loads) == 1 })

	b.handler.mutex.Lock()
	b.handler.own.Leaving = []Leaving{{VM: "R1"}}
	b.handler.mutex.Unlock()
	b.Publish()
	a.handler.await(announces("R1"))
}

func TestConfigurationIsFetchedFromPeer(t *testing.T) {
	c, ctx, fake := qt.New(t), context.Background(), newFakeClock()
	a := startDaemon(c, fake, "A", "1", "127.0.0.1:0")
	b := startDaemon(c, fake, "B", "1", "127.0.0.1:0")
	setVMs(a, b)

	var none *NoConfigurationError
	_, _, err := a.FetchConfiguration(ctx)
	c.Assert(err, qt.ErrorAs, &none)

	b.handler.snapshot, b.handler.offset = []byte("plans"), 7
	b.Publish()
	snapshot, offset, err := a.FetchConfiguration(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(string(snapshot), qt.Equals, "plans")
	c.Assert(offset, qt.Equals, uint64(7))

	a.exchangeWith(ctx, b.vm)
	a.fetchFrom(ctx, b.vm)
	_, offset = a.handler.Configuration()
	c.Assert(offset, qt.Equals, uint64(7))
}

func TestAnswerIsAcceptedFromTheSameIncarnationOnly(t *testing.T) {
	c, ctx, fake := qt.New(t), context.Background(), newFakeClock()
	a := startDaemon(c, fake, "A", "1", "127.0.0.1:0")
	b := startDaemon(c, fake, "B", "1", "127.0.0.1:0")
	setVMs(a, b)
	final := Answer{
		State: Final, Outcome: "Answered", Status: 200,
		Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("placed"), RetryAfter: 1500 * time.Millisecond,
	}
	b.handler.answers["K"] = final

	final.Body = make([]byte, MaxMessageBytes/2)
	b.handler.answers["Large"] = final

	answer, err := a.FetchAnswer(ctx, "B", "1", "Large")
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Body, qt.HasLen, MaxMessageBytes/2)
	answer, err = a.FetchAnswer(ctx, "B", "1", "K")
	c.Assert(err, qt.IsNil)
	c.Assert(answer, qt.DeepEquals, b.handler.answers["K"])
	answer, err = a.FetchAnswer(ctx, "B", "1", "Other")
	c.Assert(err, qt.IsNil)
	c.Assert(answer.State, qt.Equals, NotFound)

	var restarted *RestartedError
	_, err = a.FetchAnswer(ctx, "B", "0", "K")
	c.Assert(err, qt.ErrorAs, &restarted)
	c.Assert(restarted.Found, qt.Equals, "1")
	var unknown *UnknownPeerError
	_, err = a.FetchAnswer(ctx, "C", "1", "K")
	c.Assert(err, qt.ErrorAs, &unknown)
}

// The VM list still has the address of a VM that is gone, and another VM now
// answers there.
func TestAnswerFromAnotherVMAtThePeersAddressIsRejected(t *testing.T) {
	c, ctx, fake := qt.New(t), context.Background(), newFakeClock()
	a := startDaemon(c, fake, "A", "1", "127.0.0.1:0")
	b := startDaemon(c, fake, "B", "1", "127.0.0.1:0")
	gone := entryVM("Gone", b.Address())
	a.SetVMs([]hosting.VM{a.vm, gone})

	a.exchangeWith(ctx, gone)
	c.Assert(a.events.kinds, qt.DeepEquals, []string{"PeerLost"})
	var misdirected *MisdirectedError
	_, err := a.FetchAnswer(ctx, "Gone", "1", "K")
	c.Assert(err, qt.ErrorAs, &misdirected)
	c.Assert(misdirected.Found, qt.Equals, "B")
}

func TestCallsToKilledPeerBackOffUntilItsRestart(t *testing.T) {
	c, ctx, fake := qt.New(t), context.Background(), newFakeClock()
	a := startDaemon(c, fake, "A", "1", "127.0.0.1:0")
	b := startDaemon(c, fake, "B", "1", "127.0.0.1:0")
	setVMs(a, b)
	a.exchangeWith(ctx, b.vm)

	var busy *ListenError
	second := New(a.common, DefaultOptions(Identity{}, b.Address(), 1), a.stamps, a.handler)
	c.Assert(second.Listen(), qt.ErrorAs, &busy)

	b.kill()
	a.exchangeWith(ctx, b.vm)
	c.Assert(a.events.kinds, qt.DeepEquals, []string{"PeerLost"})
	c.Assert(a.core.Round(fake.Now()), qt.HasLen, 0)

	restarted := startDaemon(c, fake, "B", "2", b.vm.PeerAddress)
	setVMs(a, restarted)
	restarted.exchangeWith(ctx, a.vm)
	c.Assert(a.core.Round(fake.Now()), qt.HasLen, 1)
	restarted.exchangeWith(ctx, a.vm)
	c.Assert(a.events.kinds, qt.DeepEquals, []string{"PeerLost", "PeerFound", "PeerRestarted"})
	incarnation, _ := a.Incarnation("B")
	c.Assert(incarnation, qt.Equals, "2")
}

func TestCallOnSilentPooledConnectionIsRetriedOnANewOne(t *testing.T) {
	c, ctx, fake := qt.New(t), context.Background(), newFakeClock()
	a := startDaemon(c, fake, "A", "1", "127.0.0.1:0")
	b := startDaemon(c, fake, "B", "1", "127.0.0.1:0")
	link, err := relay.New(b.Address())
	c.Assert(err, qt.IsNil)
	defer link.Close()
	b.vm.PeerAddress = link.Address()
	setVMs(a, b)
	a.exchangeWith(ctx, b.vm)
	b.handler.own.Loads = []BackendLoad{{Backend: "R1", InFlight: 1}}
	b.Publish()

	link.SilenceOpenConnections()
	a.timers.drain()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.exchangeWith(ctx, b.vm)
	}()
	<-a.timers.started
	fake.Advance(a.options.CallTimeout)
	<-ended

	c.Assert(a.handler.last().Loads, qt.HasLen, 1)
	c.Assert(a.events.kinds, qt.HasLen, 0)
}

func TestWriteToPeerThatDoesNotReadTimesOut(t *testing.T) {
	c, fake := qt.New(t), newFakeClock()
	common := telemetry.NewCommon()
	timers := &watchedClock{Clock: fake, started: make(chan struct{}, 1)}
	common.Clock = timers
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	conn := newCountedConn(near, common, time.Second)

	ended := make(chan error)
	go func() {
		_, err := conn.Write([]byte("digest"))
		ended <- err
	}()
	<-timers.started
	fake.Advance(time.Second)
	c.Assert(<-ended, qt.IsNotNil)
}

func TestCallToSilentPeerTimesOut(t *testing.T) {
	c, ctx, fake := qt.New(t), context.Background(), newFakeClock()
	a := startDaemon(c, fake, "A", "1", "127.0.0.1:0")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	silent := entryVM("B", listener.Addr().String())
	a.SetVMs([]hosting.VM{a.vm, silent})

	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.exchangeWith(ctx, silent)
	}()
	conn, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
	fake.Advance(a.options.CallTimeout)
	<-ended

	c.Assert(a.events.kinds, qt.DeepEquals, []string{"PeerLost"})
	c.Assert(a.core.Round(fake.Now()), qt.HasLen, 0)
}
