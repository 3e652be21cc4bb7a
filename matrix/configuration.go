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

// configurationScript carries a configuration through one fault at one step.
//
// Given are three daemons with a configuration in force. The fault is caused
// at the step of the next change. Then the faults heal, operators submit again
// what got no verdict, a last change follows, and a new daemon starts.
type configurationScript struct {
	*Cluster
	step Step
	// first is the daemon that the faults of single daemons hit.
	first  *node
	second *node
	third  *node
	// priority is that of the last change.
	priority int
	changes  []*change
	raced    [][2]*change
}

// configurationFault causes a fault at the step of the script.
type configurationFault func(c *configurationScript)

// configurationCell runs the fault of the row at the step.
func configurationCell(row Row, step Step) func(options, uint64) []error {
	return func(options options, seed uint64) []error {
		w, err := newCluster(options, seed)
		if err != nil {
			return []error{err}
		}
		c := &configurationScript{Cluster: w, step: step, first: w.nodes[0], second: w.nodes[1], third: w.nodes[2]}
		for _, n := range w.nodes {
			n.startConfiguration()
		}
		c.publishPlans()
		c.publish()
		c.awaitAll(1)
		c.run(configurationFaults[row])
		c.finish()
		w.close()
		return Check(w.record)
	}
}

// startConfiguration starts the fold of the configuration stream.
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

// runWithHook causes the fault at the next append of the step.
func (c *configurationScript) runWithHook(fault configurationFault, call func()) {
	h := c.setHook(nil, c.step, func() action {
		fault(c)
		return proceed
	})
	call()
	c.record.expect(c.awaitHook(h), fmt.Sprintf("step %s was not reached", c.step))
}

// runFold causes the fault after a change has been appended and before any
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

// runSnapshot causes the fault while the first daemon appends a snapshot, and
// lets the log forget the records before it while the third daemon is cut off.
func (c *configurationScript) runSnapshot(fault configurationFault) {
	c.publish()
	c.awaitAll(c.priority)
	c.third.log.setCut(cutBoth)
	junk := make([][]byte, configuration.SnapshotRecords)
	for i := range junk {
		junk[i] = []byte("not a change")
	}
	_, err := c.log.Append(context.Background(), configurationStream, junk)
	c.record.expect(err == nil, "the log took no records")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var writers []*configuration.Snapshotter
	for i, n := range []*node{c.first, c.second} {
		appender := logstream.NewPublisher(n.Common, n.log, appendTimeout)
		writer := configuration.NewSnapshotter(n.Common, n.configuration, appender, rand.New(rand.NewPCG(uint64(i), 3)))
		writers = append(writers, writer)
		go writer.Run(ctx)
	}
	c.runWithHook(fault, func() { c.await(func() bool { return c.hookReached() }) })
	c.heal()
	c.third.log.setCut(cutBoth)
	c.record.expect(c.await(c.trimToSnapshot), "no snapshot was written")
	cancel()
	for _, writer := range writers {
		<-writer.Done()
	}
}

// hookReached reports whether the hook of the case has been called.
func (c *configurationScript) hookReached() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hook.reached
}

// trimToSnapshot removes the records that a snapshot in the log makes needless. It
// returns false when there is no snapshot.
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

// runSpread publishes while the first daemon can't read the log, so that the
// change reaches it from peers.
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
	c.record.expect(c.first.isDead() || c.isInForce(c.first, wanted), "the change did not spread to the daemon without the log")
}

// runBoot starts a daemon under the fault.
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
	}), "the new daemon has no configuration")
}

// snapshots returns the states of all daemons as they are before any of them
// fetches another one.
func (c *configurationScript) snapshots() map[string][]byte {
	states := make(map[string][]byte)
	for _, n := range c.nodes {
		if n.configuration != nil {
			states[n.name], _ = n.configuration.Snapshot()
		}
	}
	return states
}

// adoptFromPeers lets a daemon take the state of each peer that it reaches, old ones
// too, and boot from them when it has not read the log.
func (c *configurationScript) adoptFromPeers(n *node, states map[string][]byte) {
	if n.isSilent() {
		return
	}
	for _, from := range c.nodes {
		if from == n || from.isSilent() || !c.reaches(n, from) || !c.reaches(from, n) {
			continue
		}
		err := n.configuration.Adopt(states[from.name])
		c.record.expect(err == nil, "a peer's state was refused")
		c.recordViews()
	}
	n.configuration.BootFromPeers()
	c.recordViews()
}

// finish heals the faults and checks that everything ends with a last change.
func (c *configurationScript) finish() {
	c.heal()
	for _, n := range c.nodes {
		n.setPaused(false)
	}
	c.resubmitPending()
	last := c.publish()
	c.record.expect(last.verdict.Accepted, fmt.Sprintf("the last change is refused: %v", last.verdict.Err))
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

// awaitAll waits until a change is in force at all daemons that live.
func (c *configurationScript) awaitAll(priority int) {
	c.record.expect(c.await(func() bool {
		for _, n := range c.nodes {
			if !n.isDead() && !c.isInForce(n, priority) {
				return false
			}
		}
		return true
	}), fmt.Sprintf("change %d is not in force everywhere", priority))
}

func (c *configurationScript) isInForce(n *node, priority int) bool {
	c.recordViews()
	return n.view().Priority >= priority
}

// await moves the clock on until the condition holds.
func (c *configurationScript) await(condition func() bool) bool {
	return c.Cluster.await(func() bool {
		c.Clock.Advance(clockStep)
		return condition()
	})
}

// recordViews records what is in force at every daemon.
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

// view returns what is in force at the daemon.
func (n *node) view() View {
	state, ready := n.configuration.State()
	view := View{Daemon: n.name, Offset: state.Offset()}
	if ready && len(state.Allowances()) == 1 {
		view.Priority = state.Allowances()[0].Priority
		view.State = string(state.Snapshot())
	}
	return view
}
