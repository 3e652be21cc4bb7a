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

// change returns a change that publishes one allowance with the priority.
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

// newPublishedLog returns a log with both lists: the plans, and an allowance with
// priority 1 published by change a.
func newPublishedLog(c *qt.C) (*fakeLog, *configuration.Publisher) {
	c.Helper()
	log := &fakeLog{}
	p := newPublisher(log)
	publishPlans(c, p)
	submit(c, p, change("a", 0, 1))
	return log, p
}

// submit appends a change and requires that it is accepted.
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

func TestSecondOfTwoConcurrentChangesIsStale(t *testing.T) {
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

func TestSubmitWithAppendFaults(t *testing.T) {
	scenarios := []struct {
		name      string
		fault     appendFault
		accepted  bool
		uncertain bool
	}{
		{"response lost after the effect", lostAfter, true, false},
		{"request lost before the effect", lostBefore, false, true},
		{"append refused", refused, false, false},
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

			// The operator retries the change with the same identity.
			log.set(none, false)
			_, err = p.Submit(context.Background(), base, change("a", 0, 1))
			c.Assert(err, qt.IsNil)
			c.Assert(read(c, p).Allowances()[0].Priority, qt.Equals, 1)
			c.Assert(read(c, p).Version(plan.ListAllowances), qt.Equals, uint64(2))
		})
	}
}

// startFollower starts a follower that runs until the test ends.
func startFollower(t *testing.T, log hosting.Log) *configuration.Follower {
	follower := configuration.NewFollower(telemetry.NewCommon(), log, stream, time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	go follower.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-follower.Done()
	})
	return follower
}

// awaitOffset waits until the follower has applied the records below the offset.
func awaitOffset(follower *configuration.Follower, offset uint64) {
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
	log, p := newPublishedLog(c)
	snapshot := read(c, p).Snapshot()
	submit(c, p, change("b", 2, 2))
	// The snapshot is late: it does not cover the record before it.
	_, err := log.Append(context.Background(), stream, [][]byte{snapshot})
	c.Assert(err, qt.IsNil)

	// The follower must also apply record 2, which the snapshot does not cover.
	log.trim(2)
	state := awaitState(startFollower(t, log))
	c.Assert(state.Allowances()[0].Priority, qt.Equals, 2)
	c.Assert(state.Offset(), qt.Equals, uint64(4))
}

// TestFollowerWithGapIsNotReady covers a follower that gets a complete but old state
// from a peer while the records after it have been removed. Without a snapshot it can't
// know which configuration is in force.
func TestFollowerWithGapIsNotReady(t *testing.T) {
	c := qt.New(t)
	log, p := newPublishedLog(c)
	older := read(c, p).Snapshot()
	submit(c, p, change("b", 2, 2))
	submit(c, p, change("c", 3, 3))
	log.trim(3)
	_, err := p.Read(context.Background())
	var gap *configuration.GapError
	c.Assert(errors.As(err, &gap), qt.IsTrue)
	log.set(none, true)
	follower := startFollower(t, log)
	c.Assert(follower.Adopt(older), qt.IsNil)

	log.set(none, false)
	// One call finds the records trimmed, one gets the remaining record, one finds
	// the end of the log, and one more shows that these results are processed. A
	// call before them may still have failed in the outage.
	log.awaitReads(5)

	_, ready := follower.State()
	c.Assert(ready, qt.IsFalse)
	c.Assert(follower.Offset(), qt.Equals, uint64(2))
}

func TestFollowerAdoptsPeerStateAndNeverReverts(t *testing.T) {
	c := qt.New(t)
	log, p := newPublishedLog(c)
	older := read(c, p).Snapshot()
	submit(c, p, change("b", 2, 2))
	newer := read(c, p).Snapshot()
	log.set(none, true)
	follower := startFollower(t, log)

	c.Assert(follower.Adopt(newer), qt.IsNil)
	_, ready := follower.State()
	c.Assert(ready, qt.IsFalse)
	follower.MarkSyncedWithPeers()
	c.Assert(follower.Adopt(older), qt.IsNil)
	state, ready := follower.State()
	c.Assert(ready, qt.IsTrue)
	c.Assert(state.Allowances()[0].Priority, qt.Equals, 2)

	log.set(none, false)
	submit(c, p, change("c", 3, 3))
	awaitOffset(follower, 4)
	state, _ = follower.State()
	c.Assert(state.Allowances()[0].Priority, qt.Equals, 3)
}

func TestSnapshotterWritesBeforeRetention(t *testing.T) {
	scenarios := []struct {
		name string
		// records is the number of records after the two lists.
		records int
		// step is how far the clock advances between two checks.
		step time.Duration
	}{
		{"many records", configuration.SnapshotRecords, time.Second},
		{"no records for a long time", 0, configuration.SnapshotInterval},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			log, _ := newPublishedLog(c)
			for range s.records {
				_, err := log.Append(context.Background(), stream, [][]byte{[]byte("not a change")})
				c.Assert(err, qt.IsNil)
			}
			end := uint64(s.records + 2)
			follower := startFollower(t, log)
			awaitState(follower)
			awaitOffset(follower, end)

			runSnapshotter(c, log, follower, s.step)

			log.trim(end)
			fresh := awaitState(startFollower(t, log))
			c.Assert(fresh.Allowances()[0].Priority, qt.Equals, 1)
		})
	}
}

// runSnapshotter advances a fake clock until a snapshot has been written.
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
