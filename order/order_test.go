package order

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"k8s.io/klog/v2"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/placement"
	"github.com/cranberrywalk/cranberrywalk/plan"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture has two daemons and two runners: r0 with a model and r1 without one.
type fixture struct {
	*qt.C
	ctx      context.Context
	clock    *clockwork.FakeClock
	log      *fakeLog
	cloud    *fakeCloud
	weights  *fakeWeights
	engines  map[string]*fakeEngine
	inputs   placement.Inputs
	one, two *Controller
}

func newFixture(t *testing.T) *fixture {
	fake := clock.NewFake(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	s := &fixture{
		C: qt.New(t), ctx: context.Background(), clock: fake,
		log:     &fakeLog{clock: fake, appended: make(chan struct{})},
		cloud:   &fakeCloud{started: make(map[string]hosting.VM)},
		weights: &fakeWeights{onReserve: func() {}},
		engines: map[string]*fakeEngine{"r0": {models: []string{"a"}}, "r1": {}},
	}
	for _, name := range []string{"r0", "r1"} {
		s.inputs.VMs = append(s.inputs.VMs, hosting.VM{
			Name: name, Role: hosting.RoleRunner, Zone: "z1", Class: "c", Address: name, Reclaimable: true, Price: 1,
		})
	}
	s.inputs.Allowances = []plan.Allowance{{Plan: "p", Models: []string{"a", "b"}}}
	s.inputs.Offers = []placement.Offer{
		{Zone: "z1", Class: "c", Reclaimable: true, Price: 1}, {Zone: "z2", Class: "c", Price: 3},
	}
	s.demand("b")
	s.one, s.two = s.daemon("one"), s.daemon("two")
	return s
}

func (s *fixture) daemon(name string) *Controller {
	common := telemetry.NewCommon()
	common.Clock = s.clock
	common.Log = klog.Logger{}
	options := DefaultOptions()
	options.Duty, options.Daemon, options.Incarnation, options.MaxAcquireDelay = "Orders", name, "1", 0
	return New(common, options, s.log, s.cloud, s.weights,
		func(vm hosting.VM) hosting.Engine { return s.engines[vm.Name] },
		func() placement.Inputs { return s.inputs })
}

// demand sets the model that needs a runner besides a.
func (s *fixture) demand(model string) {
	s.inputs.Demands = []placement.Demand{{Model: "a", Rate: 1}, {Model: model, Rate: 1}}
}

// step runs a read, an append, another read and a round of a daemon.
func (s *fixture) step(o *Controller) {
	s.read(o)
	o.appendOnce(s.ctx)
	s.read(o)
	o.round(s.ctx)
}

// read reads to the end of the stream if the log is up. The second read continues
// after trimmed records.
func (s *fixture) read(o *Controller) {
	for range 2 {
		_ = o.readOnce(s.ctx, 0)
	}
}

// takeOver lets the lease of the paused daemon lapse and daemon two acquire it.
func (s *fixture) takeOver() {
	s.step(s.two)
	s.clock.Advance(12*time.Second + 1)
	s.step(s.two)
	s.Assert(holds(s.two), qt.IsTrue)
}

func holds(o *Controller) bool {
	_, isHolding := o.Holding()
	return isHolding
}

func TestOrderCarriesLeaseNumber(t *testing.T) {
	s := newFixture(t)
	s.step(s.one)
	s.step(s.two)
	s.Assert(holds(s.one), qt.IsTrue)
	s.Assert(holds(s.two), qt.IsFalse)
	s.Assert(s.engines["r1"].models, qt.DeepEquals, []string{"b"})
	s.Assert(s.engines["r1"].orders, qt.DeepEquals, []uint64{0})

	s.one.release(s.ctx)
	s.Assert(holds(s.one), qt.IsFalse)
	s.step(s.two)
	s.Assert(holds(s.two), qt.IsTrue)
}

func TestPausedHolderSendsNoOrder(t *testing.T) {
	s := newFixture(t)
	s.inputs.Demands = nil
	s.step(s.one)
	s.clock.Advance(10 * time.Second)
	s.demand("b")
	s.one.round(s.ctx)
	s.Assert(s.engines["r1"].orders, qt.HasLen, 0)
}

func TestHolderPausedInRoundSendsNoOrder(t *testing.T) {
	s := newFixture(t)
	s.weights.onReserve = func() { s.clock.Advance(10 * time.Second) }
	s.step(s.one)
	s.Assert(s.weights.reserved, qt.Equals, 1)
	s.Assert(s.engines["r1"].orders, qt.HasLen, 0)
}

func TestOrderIsNotWaitedForBeyondLease(t *testing.T) {
	s := newFixture(t)
	s.one.options.OrderTimeout = time.Hour
	s.engines["r1"].onHang = func() { s.clock.Advance(10 * time.Second) }
	s.step(s.one)
	s.Assert(holds(s.one), qt.IsFalse)
}

func TestLateOrderDoesNotPersist(t *testing.T) {
	for _, scenario := range []struct {
		name          string
		checksFencing bool
		orders        []uint64
	}{
		{"engine checks the fencing token", true, []uint64{1}},
		{"engine ignores the fencing token", false, []uint64{1, 0, 1}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			s := newFixture(t)
			engine := s.engines["r1"]
			engine.checksFencing, engine.isDelayed = scenario.checksFencing, true
			s.step(s.one)
			engine.isDelayed = false
			s.demand("c")
			s.inputs.Allowances[0].Models = []string{"a", "c"}
			s.takeOver()
			s.Assert(engine.models, qt.DeepEquals, []string{"c"})

			engine.deliver()
			for range 7 {
				s.clock.Advance(9 * time.Second)
				s.step(s.two)
			}
			s.Assert(engine.models, qt.DeepEquals, []string{"c"})
			s.Assert(engine.orders, qt.DeepEquals, scenario.orders)
			s.step(s.one)
			s.Assert(holds(s.one), qt.IsFalse)
		})
	}
}

func TestLostResponsesAreNotRetried(t *testing.T) {
	s := newFixture(t)
	s.log.losesAnswers = true
	s.engines["r1"].losesAnswers = true
	s.step(s.one)
	s.Assert(holds(s.one), qt.IsTrue)
	for range 20 {
		s.clock.Advance(5 * time.Second)
		s.step(s.one)
	}
	s.Assert(holds(s.one), qt.IsTrue)
	s.Assert(s.engines["r1"].orders, qt.DeepEquals, []uint64{0})
}

func TestNoOrdersDuringLogOutage(t *testing.T) {
	s := newFixture(t)
	s.inputs.Demands = nil
	s.step(s.one)
	s.step(s.two)
	s.log.isDown = true
	for range 5 {
		s.clock.Advance(2 * time.Second)
		s.step(s.one)
		s.step(s.two)
	}
	s.demand("b")
	s.step(s.one)
	s.Assert(holds(s.one) || holds(s.two), qt.IsFalse)
	s.Assert(s.engines["r1"].orders, qt.HasLen, 0)

	s.log.isDown = false
	s.clock.Advance(3 * time.Second)
	s.step(s.two)
	s.step(s.one)
	s.Assert(holds(s.one), qt.Not(qt.Equals), holds(s.two))
	s.Assert(s.engines["r1"].models, qt.DeepEquals, []string{"b"})
}

func TestTrimmedRecordsEndTheLease(t *testing.T) {
	s := newFixture(t)
	s.step(s.one)
	s.one.appendOnce(s.ctx)
	s.clock.Advance(3 * time.Second)
	s.one.appendOnce(s.ctx)
	s.log.trim()
	s.step(s.one)
	s.Assert(holds(s.one), qt.IsFalse)
	for range 4 {
		s.clock.Advance(12*time.Second + 1)
		s.step(s.one)
	}
	s.Assert(holds(s.one), qt.IsTrue)
}

func TestRefusedStartTriesNextOffer(t *testing.T) {
	s := newFixture(t)
	s.cloud.refusedZones = []string{"z1"}
	s.step(s.one)
	s.inputs.VMs[0].Leaving = true
	s.inputs.Demands = nil
	s.step(s.one)
	s.Assert(s.cloud.requests, qt.HasLen, 2)
	s.Assert(s.cloud.started, qt.HasLen, 1)
	s.Assert(s.cloud.started["Replace/r0"].Zone, qt.Equals, "z2")
}

func TestNextHolderDoesNotDuplicateUncertainStart(t *testing.T) {
	s := newFixture(t)
	s.inputs.VMs[0].Leaving = true
	s.inputs.VMs[0].Models = []string{"a"}
	s.inputs.Demands = nil
	s.cloud.losesAnswers = true
	s.step(s.one)
	s.step(s.one)
	s.Assert(s.cloud.requests, qt.HasLen, 1)
	s.cloud.losesAnswers = false
	s.takeOver()
	s.Assert(s.cloud.requests, qt.HasLen, 2)
	s.Assert(s.cloud.started, qt.HasLen, 1)
}

func TestTransferIsReservedOnceAndAwaited(t *testing.T) {
	s := newFixture(t)
	s.weights.wait = 2 * time.Second
	s.step(s.one)
	s.step(s.one)
	s.Assert(s.engines["r1"].orders, qt.HasLen, 0)
	s.clock.Advance(2 * time.Second)
	s.step(s.one)
	s.Assert(s.engines["r1"].models, qt.DeepEquals, []string{"b"})
	s.Assert(s.weights.reserved, qt.Equals, 1)
}

func TestRunReleasesLeaseOnReturn(t *testing.T) {
	s := newFixture(t)
	ctx, cancel := context.WithCancel(s.ctx)
	go s.one.Run(ctx)
	for i := 0; i < 20 && !holds(s.one); i++ {
		// The reader, the appender and the rounds each have a timer.
		s.Assert(s.clock.BlockUntilContext(s.ctx, 3), qt.IsNil)
		s.clock.Advance(appendInterval)
	}
	s.Assert(holds(s.one), qt.IsTrue)
	cancel()
	<-s.one.Done()
	s.Assert(holds(s.one), qt.IsFalse)
	s.step(s.two)
	s.Assert(holds(s.two), qt.IsTrue)
}
