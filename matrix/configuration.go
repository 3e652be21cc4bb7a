package matrix

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberrywalk/cranberrywalk/configuration"
	"github.com/cranberrywalk/cranberrywalk/logstream"
	"github.com/cranberrywalk/cranberrywalk/plan"
)

// configurationScript runs one fault at one step of a configuration change.
//
// Three daemons start with a configuration in force. The fault is injected at the
// step of the next change. Then all faults end, operators resubmit the changes that
// got no verdict, a last change is published, and a new daemon starts.
type configurationScript struct {
	*Cluster
	step Step
	// first is the daemon that faults of a single daemon are injected into.
	first  *node
	second *node
	third  *node
	// priority is the priority that the last change sets. It identifies the change.
	priority int
	changes  []*change
	// raced holds the pairs of changes that are based on the same state.
	raced [][2]*change
}

// configurationFault injects a fault at the step of the script.
type configurationFault func(c *configurationScript)

// configurationCell returns a function that runs the fault of the row at the step.
func configurationCell(row Row, step Step) func(options, uint64) []error {
	return func(options options, seed uint64) []error {
		cluster, err := newCluster(options, seed)
		if err != nil {
			return []error{err}
		}
		c := &configurationScript{Cluster: cluster, step: step, first: cluster.nodes[0], second: cluster.nodes[1], third: cluster.nodes[2]}
		for _, n := range cluster.nodes {
			n.startConfiguration()
		}
		c.publishPlans()
		c.publish()
		c.awaitAll(1)
		c.run(configurationFaults[row])
		c.finish()
		cluster.close()
		return Check(cluster.record)
	}
}

// startConfiguration starts the follower of the configuration stream.
func (n *node) startConfiguration() {
	n.configuration = configuration.NewFollower(n.Common, n.log, configurationStream, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	n.stopConfiguration = cancel
	go n.configuration.Run(ctx)
}

func (c *configurationScript) run(fault configurationFault) {
	switch c.step {
	case StepPublish:
		fault(c)
		c.publish()
	case StepAppend:
		c.runWithHook(fault, func() { c.publish() })
	case StepFold:
		c.runFold(fault)
	case StepSnapshot:
		c.runSnapshot(fault)
	case StepSpread:
		c.runSpread(fault)
	case StepBoot:
		c.runBoot(fault)
	}
}

// runWithHook runs operation and injects the fault at the next append of the step.
func (c *configurationScript) runWithHook(fault configurationFault, operation func()) {
	h := c.setHook(nil, c.step, func() action {
		fault(c)
		return proceed
	})
	operation()
	c.record.expect(c.awaitHook(h), fmt.Sprintf("step %s not reached", c.step))
}

// runFold injects the fault after a change has been appended and before the first
// daemon has read it.
func (c *configurationScript) runFold(fault configurationFault) {
	for _, n := range c.nodes {
		n.log.setCut(cutBoth)
	}
	c.publish()
	for _, n := range []*node{c.second, c.third} {
		n.log.setCut(cutNone)
	}
	c.first.log.setCut(cutNone)
	fault(c)
}

// runSnapshot injects the fault while a snapshot is appended, and trims the log up
// to the snapshot while the third daemon is cut off.
func (c *configurationScript) runSnapshot(fault configurationFault) {
	c.publish()
	c.awaitAll(c.priority)
	c.third.log.setCut(cutBoth)
	filler := make([][]byte, configuration.SnapshotRecords)
	for i := range filler {
		filler[i] = []byte("not a change")
	}
	_, err := c.log.Append(context.Background(), configurationStream, filler)
	c.record.expect(err == nil, fmt.Sprintf("appending the filler records failed: %v", err))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var snapshotters []*configuration.Snapshotter
	for i, n := range []*node{c.first, c.second} {
		appender := logstream.NewPublisher(n.Common, n.log, appendTimeout)
		snapshotter := configuration.NewSnapshotter(n.Common, n.configuration, appender, rand.New(rand.NewPCG(uint64(i), 3)))
		snapshotters = append(snapshotters, snapshotter)
		go snapshotter.Run(ctx)
	}
	c.runWithHook(fault, func() { c.await(func() bool { return c.hookReached() }) })
	c.heal()
	c.third.log.setCut(cutBoth)
	c.record.expect(c.await(c.trimToSnapshot), "no snapshot was written")
	cancel()
	for _, snapshotter := range snapshotters {
		<-snapshotter.Done()
	}
}

// hookReached reports whether the hook has been called.
func (c *configurationScript) hookReached() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hook.reached
}

// trimToSnapshot removes the records before the offset of the first snapshot in the
// log. It returns false if there is no snapshot.
func (c *configurationScript) trimToSnapshot() bool {
	batch, err := c.log.Read(context.Background(), configurationStream, 0, 1<<20, 0)
	if err != nil {
		return false
	}
	for _, record := range batch.Records {
		if state, err := plan.Restore(record.Payload); err == nil {
			c.log.trim(configurationStream, state.Offset())
			return true
		}
	}
	return false
}

// runSpread publishes a change while the first daemon is cut off from the log, so
// that it can only receive the change from peers.
func (c *configurationScript) runSpread(fault configurationFault) {
	c.first.log.setCut(cutBoth)
	c.publish()
	c.record.expect(c.await(func() bool { return c.isInForce(c.second, c.priority) && c.isInForce(c.third, c.priority) }),
		"the change did not come into force at the daemons that read the log")
	wanted := c.priority
	fault(c)
	states := c.snapshots()
	for _, n := range c.nodes {
		c.adoptFromPeers(n, states)
	}
	c.record.expect(c.first.isDead() || c.isInForce(c.first, wanted), "the change did not reach the daemon without the log")
}

// runBoot starts a new daemon while the fault is active.
func (c *configurationScript) runBoot(fault configurationFault) {
	c.publish()
	c.awaitAll(c.priority)
	wanted := c.priority
	booting := newNode(c.Cluster, "entry-4", zoneB, 4)
	c.nodes = append(c.nodes, booting)
	c.first = booting
	fault(c)
	booting.startConfiguration()
	c.record.expect(booting.isDead() || c.await(func() bool {
		if !booting.isDead() {
			c.adoptFromPeers(booting, c.snapshots())
		}
		return c.isInForce(booting, wanted)
	}), "the change did not come into force at the new daemon")
}

// snapshots returns the states of all daemons. Taken before any of them adopts
// another one, they include outdated states.
func (c *configurationScript) snapshots() map[string][]byte {
	states := make(map[string][]byte)
	for _, n := range c.nodes {
		if n.configuration != nil {
			states[n.name], _ = n.configuration.Snapshot()
		}
	}
	return states
}

// adoptFromPeers passes a daemon the states of all peers that it reaches, outdated
// ones included. A daemon that has not read the log boots from these states.
func (c *configurationScript) adoptFromPeers(n *node, states map[string][]byte) {
	if n.isSilent() {
		return
	}
	for _, from := range c.nodes {
		if from == n || from.isSilent() || !c.reaches(n, from) || !c.reaches(from, n) {
			continue
		}
		err := n.configuration.Adopt(states[from.name])
		c.record.expect(err == nil, fmt.Sprintf("a peer's state was rejected: %v", err))
		c.recordViews()
	}
	n.configuration.MarkSyncedWithPeers()
	c.recordViews()
}

// finish ends all faults, publishes a last change and records the final views of
// all daemons, a new one included.
func (c *configurationScript) finish() {
	c.heal()
	for _, n := range c.nodes {
		n.setPaused(false)
	}
	c.resubmitPending()
	last := c.publish()
	c.record.expect(last.verdict.Accepted, fmt.Sprintf("the last change was rejected: %v", last.verdict.Err))
	fresh := newNode(c.Cluster, "entry-5", zoneA, 5)
	c.nodes = append(c.nodes, fresh)
	fresh.startConfiguration()
	c.awaitAll(last.priority)
	for _, n := range c.nodes {
		if !n.isDead() {
			c.record.update(func() { c.record.Final = append(c.record.Final, n.view()) })
		}
	}
}

// awaitAll waits until a change is in force at all live daemons.
func (c *configurationScript) awaitAll(priority int) {
	c.record.expect(c.await(func() bool {
		for _, n := range c.nodes {
			if !n.isDead() && !c.isInForce(n, priority) {
				return false
			}
		}
		return true
	}), fmt.Sprintf("change %d is not in force at all live daemons", priority))
}

func (c *configurationScript) isInForce(n *node, priority int) bool {
	c.recordViews()
	return n.view().Priority >= priority
}

// await advances the clock until the condition holds.
func (c *configurationScript) await(condition func() bool) bool {
	return c.Cluster.await(func() bool {
		c.Clock.Advance(clockStep)
		return condition()
	})
}

// recordViews records the configuration in force at every live daemon.
func (c *configurationScript) recordViews() {
	for _, n := range c.nodes {
		if n.configuration == nil || n.isDead() {
			continue
		}
		if view := n.view(); view.Priority > 0 {
			c.record.addView(view)
		}
	}
}

// view returns the configuration in force at the daemon.
func (n *node) view() View {
	state, ready := n.configuration.State()
	view := View{Daemon: n.name, Offset: state.Offset()}
	if ready && len(state.Allowances()) == 1 {
		view.Priority = state.Allowances()[0].Priority
		view.State = string(state.Snapshot())
	}
	return view
}
