package configuration_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/configuration"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/logstream"
	"github.com/cranberrywalk/cranberrywalk/plan"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

const stream = "Configuration"

func newPublisher(log hosting.Log) *configuration.Publisher {
	return configuration.NewPublisher(log, logstream.NewPublisher(telemetry.NewCommon(), log, time.Minute), stream)
}

// change publishes a list of allowances whose one entry has the priority.
func change(identity string, base uint64, priority int) plan.Change {
	return plan.Change{
		Identity: identity, Base: base, List: plan.ListAllowances, Kind: plan.KindPublish,
		Allowances: []plan.Allowance{{Plan: "Desk", Priority: priority}},
	}
}

func publishPlans(c *qt.C, p *configuration.Publisher) plan.State {
	c.Helper()
	first := plan.Change{Identity: "plans", List: plan.ListPlans, Kind: plan.KindPublish, Plans: []plan.Plan{{Name: "Desk"}}}
	verdict, err := p.Submit(context.Background(), plan.State{}, first)
	c.Assert(err, qt.IsNil)
	c.Assert(verdict.Accepted, qt.IsTrue)
	return read(c, p)
}

// newDesk returns a log with both lists: the plans, and allowances with the
// priority 1 as change a.
func newDesk(c *qt.C) (*fakeLog, *configuration.Publisher) {
	c.Helper()
	log := &fakeLog{}
	p := newPublisher(log)
	publishPlans(c, p)
	submit(c, p, change("a", 0, 1))
	return log, p
}

// submit appends a change that has to be accepted.
func submit(c *qt.C, p *configuration.Publisher, sent plan.Change) {
	c.Helper()
	verdict, err := p.Submit(context.Background(), read(c, p), sent)
	c.Assert(err, qt.IsNil)
	c.Assert(verdict.Accepted, qt.IsTrue)
}

func read(c *qt.C, p *configuration.Publisher) plan.State {
	c.Helper()
	state, err := p.Read(context.Background())
	c.Assert(err, qt.IsNil)
	return state
}

func TestOfRacingOperatorsOneWinsAndTheOtherIsTold(t *testing.T) {
	c := qt.New(t)
	log := &fakeLog{}
	p := newPublisher(log)
	base := publishPlans(c, p)

	first, err := p.Submit(context.Background(), base, change("a", 0, 1))
	c.Assert(err, qt.IsNil)
	second, err := p.Submit(context.Background(), base, change("b", 0, 2))
	c.Assert(err, qt.IsNil)

	c.Assert(first.Accepted, qt.IsTrue)
	var stale *plan.StaleBaseError
	c.Assert(errors.As(second.Err, &stale), qt.IsTrue)
	c.Assert(read(c, p).Allowances()[0].Priority, qt.Equals, 1)
}

func TestVerdictOfAppendsWithFaults(t *testing.T) {
	scenarios := []struct {
		name      string
		fault     appendFault
		accepted  bool
		uncertain bool
	}{
		{"the answer is lost after the effect", lostAfter, true, false},
		{"the answer is lost before the effect", lostBefore, false, true},
		{"the log refuses", refused, false, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			log := &fakeLog{}
			p := newPublisher(log)
			base := publishPlans(c, p)
			log.set(s.fault, false)

			verdict, err := p.Submit(context.Background(), base, change("a", 0, 1))

			var uncertain *hosting.UncertainError
			c.Assert(errors.As(err, &uncertain), qt.Equals, s.uncertain)
			c.Assert(verdict.Accepted, qt.Equals, s.accepted)
			c.Assert(err == nil, qt.Equals, s.accepted)

			// The operator repeats the change with its identity.
			log.set(none, false)
			_, err = p.Submit(context.Background(), base, change("a", 0, 1))
			c.Assert(err, qt.IsNil)
			c.Assert(read(c, p).Allowances()[0].Priority, qt.Equals, 1)
			c.Assert(read(c, p).Version(plan.ListAllowances), qt.Equals, uint64(2))
		})
	}
}

// running is a follower that runs until the test ends.
func running(t *testing.T, log hosting.Log) *configuration.Follower {
	follower := configuration.NewFollower(telemetry.NewCommon(), log, stream, time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	go follower.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-follower.Done()
	})
	return follower
}

// await returns once the follower has folded up to the offset.
func await(follower *configuration.Follower, offset uint64) {
	for follower.Offset() < offset {
		time.Sleep(time.Millisecond)
	}
}

func awaitState(follower *configuration.Follower) plan.State {
	for {
		if state, ready := follower.State(); ready {
			return state
		}
		time.Sleep(time.Millisecond)
	}
}

func TestFollowerRestoresAcrossRetention(t *testing.T) {
	c := qt.New(t)
	log, p := newDesk(c)
	snapshot := read(c, p).Snapshot()
	submit(c, p, change("b", 2, 2))
	// The snapshot is late: it is older than the record before it.
	_, err := log.Append(context.Background(), stream, [][]byte{snapshot})
	c.Assert(err, qt.IsNil)

	// Without the record that the snapshot leads to, nothing can be served.
	log.trim(2)
	state := awaitState(running(t, log))
	c.Assert(state.Allowances()[0].Priority, qt.Equals, 2)
	c.Assert(state.Offset(), qt.Equals, uint64(4))
}

// The state of a peer is complete but old, and the records that follow it have
// been removed. Without a snapshot the follower can't know what is in force.
func TestFollowerInAGapServesNothing(t *testing.T) {
	c := qt.New(t)
	log, p := newDesk(c)
	older := read(c, p).Snapshot()
	submit(c, p, change("b", 2, 2))
	submit(c, p, change("c", 3, 3))
	log.trim(3)
	_, err := p.Read(context.Background())
	var gap *configuration.GapError
	c.Assert(errors.As(err, &gap), qt.IsTrue)
	log.set(none, true)
	follower := running(t, log)
	c.Assert(follower.Adopt(older), qt.IsNil)

	log.set(none, false)
	// One call meets the trimmed records, one gets the record that is left, one
	// finds the end of the log, and one more follows; a call before them may
	// still have met the outage.
	log.awaitReads(5)

	_, ready := follower.State()
	c.Assert(ready, qt.IsFalse)
	c.Assert(follower.Offset(), qt.Equals, uint64(2))
}

func TestFollowerTakesStateFromPeersAndNeverReverts(t *testing.T) {
	c := qt.New(t)
	log, p := newDesk(c)
	older := read(c, p).Snapshot()
	submit(c, p, change("b", 2, 2))
	newer := read(c, p).Snapshot()
	log.set(none, true)
	follower := running(t, log)

	c.Assert(follower.Adopt(newer), qt.IsNil)
	_, ready := follower.State()
	c.Assert(ready, qt.IsFalse)
	follower.BootFromPeers()
	c.Assert(follower.Adopt(older), qt.IsNil)
	state, ready := follower.State()
	c.Assert(ready, qt.IsTrue)
	c.Assert(state.Allowances()[0].Priority, qt.Equals, 2)

	log.set(none, false)
	submit(c, p, change("c", 3, 3))
	await(follower, 4)
	state, _ = follower.State()
	c.Assert(state.Allowances()[0].Priority, qt.Equals, 3)
}

func TestSnapshotterWritesBeforeTheLogForgets(t *testing.T) {
	scenarios := []struct {
		name string
		// records follow the two lists.
		records int
		// step is how far the clock moves between two looks.
		step time.Duration
	}{
		{"many records", configuration.SnapshotRecords, time.Second},
		{"no record for long", 0, configuration.SnapshotInterval},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			log, _ := newDesk(c)
			for range s.records {
				_, err := log.Append(context.Background(), stream, [][]byte{[]byte("not a change")})
				c.Assert(err, qt.IsNil)
			}
			end := uint64(s.records + 2)
			follower := running(t, log)
			awaitState(follower)
			await(follower, end)

			runSnapshotter(c, log, follower, s.step)

			log.trim(end)
			fresh := awaitState(running(t, log))
			c.Assert(fresh.Allowances()[0].Priority, qt.Equals, 1)
		})
	}
}

// runSnapshotter moves a fake clock on until a snapshot has been written.
func runSnapshotter(c *qt.C, log hosting.Log, follower *configuration.Follower, step time.Duration) {
	before := follower.Offset()
	fake := clock.NewFake(time.Unix(0, 0))
	common := telemetry.NewCommon()
	common.Clock = fake
	appender := logstream.NewPublisher(telemetry.NewCommon(), log, time.Minute)
	snapshotter := configuration.NewSnapshotter(common, follower, appender, rand.New(rand.NewPCG(1, 2)))
	ctx, cancel := context.WithCancel(context.Background())
	go snapshotter.Run(ctx)
	for follower.Offset() == before {
		c.Assert(fake.BlockUntilContext(ctx, 1), qt.IsNil)
		fake.Advance(step)
	}
	cancel()
	<-snapshotter.Done()
}
