package claimlog_test

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
	"k8s.io/klog/v2"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/claimlog"
	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	start = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)
	key   = claim.NewKey("customer", "placement", "1")
)

// harness is a log, a fake clock and the daemons of one test.
type harness struct {
	*qt.C
	clock *clockwork.FakeClock
	log   *fakeLog
}

func newHarness(t *testing.T) *harness {
	fake := clock.NewFake(start)
	return &harness{C: qt.New(t), clock: fake, log: newFakeLog(fake)}
}

// options returns the options of a daemon whose reads never time out.
func options(name string) claimlog.Options {
	options := claimlog.DefaultOptions()
	options.Daemon, options.Incarnation = name, "1"
	options.FlushInterval, options.ReadWait = 0, 10_000*time.Hour
	return options
}

// startClaimer starts a claimer and returns it with the function that kills it.
func (b *harness) startClaimer(options claimlog.Options) (*claimlog.Claimer, func()) {
	common := telemetry.Common{Log: klog.Background(), Metrics: metrics.NewRegistry(), Clock: b.clock, Events: telemetry.Discard{}}
	claimer := claimlog.New(common, b.log, options)
	ctx, cancel := context.WithCancel(context.Background())
	go claimer.Run(ctx)
	kill := func() {
		cancel()
		<-claimer.Done()
	}
	b.Cleanup(kill)
	return claimer, kill
}

// startDaemon starts a claimer and waits until it is ready.
func (b *harness) startDaemon(name string) (*claimlog.Claimer, func()) {
	claimer, kill := b.startClaimer(options(name))
	<-claimer.Ready()
	return claimer, kill
}

func TestFirstClaimInLogOrderWins(t *testing.T) {
	b := newHarness(t)
	one, _ := b.startDaemon("one")
	two, _ := b.startDaemon("two")

	won, err := one.Claim(context.Background(), key, 7)
	b.Assert(err, qt.IsNil)
	b.Assert(won.Won, qt.IsTrue)
	lost, err := two.Claim(context.Background(), key, 7)
	b.Assert(err, qt.IsNil)
	b.Assert(lost.Won, qt.IsFalse)
	b.Assert(lost.Winner.IsSame(won.Claim), qt.IsTrue)

	_, err = two.Claim(context.Background(), key, 8)
	var other *claimlog.FingerprintError
	b.Assert(errors.As(err, &other), qt.IsTrue)

	b.Assert(one.Release(context.Background(), won.Claim), qt.IsNil)
	again, err := one.Claim(context.Background(), key, 8)
	b.Assert(err, qt.IsNil)
	b.Assert(again.Won, qt.IsTrue)
}

func TestClaimerIsNotReadyBeforeStreamIsRead(t *testing.T) {
	b := newHarness(t)
	b.log.update(func(f *fakeLog) { f.readsBlocked = true })
	claimer, _ := b.startClaimer(options("one"))
	ctx := context.Background()
	for range 3 {
		// The read times out, then the reader backs off.
		b.Assert(b.clock.BlockUntilContext(ctx, 1), qt.IsNil)
		b.clock.Advance(claimlog.DefaultOptions().ReadTimeout)
	}
	_, err := claimer.Claim(ctx, key, 7)
	var notReady *claimlog.NotReadyError
	b.Assert(errors.As(err, &notReady), qt.IsTrue)
	b.Assert(notReady.Cause, qt.IsNil)

	b.log.update(func(f *fakeLog) { f.readsBlocked = false })
	for claimer.Check() != nil {
		b.clock.Advance(claimlog.DefaultOptions().RetryMin)
		runtime.Gosched()
	}
	<-claimer.Ready()
}
