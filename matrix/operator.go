package matrix

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/configuration"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/logstream"
	"github.com/cranberrywalk/cranberrywalk/plan"
)

const (
	// configurationStream is the log stream of configuration changes.
	configurationStream = "Configuration"
	// appendTimeout bounds the appends of operators and snapshotters.
	appendTimeout = 2 * time.Second
	// operatorTimeout is how long an operator waits for a verdict.
	operatorTimeout = 10 * time.Second
	// clockStep is how far the clock is advanced between two checks of a condition.
	clockStep = 100 * time.Millisecond
)

// operatorLog is an operator's connection to the log.
type operatorLog struct {
	*fakeLog
	cluster *Cluster
}

// Append implements hosting.Log.
func (l *operatorLog) Append(ctx context.Context, name string, payloads [][]byte) (uint64, error) {
	l.cluster.runHook(StepAppend)
	return l.fakeLog.Append(ctx, name, payloads)
}

// change is a configuration change of one operator, and its progress.
type change struct {
	priority int
	// state is the state that the change is based on, valid if hasState is true.
	state      plan.State
	hasState   bool
	hasVerdict bool
	verdict    plan.Verdict
}

// payload returns the change to submit. It has the same identity on each
// submission.
func (c *change) payload() plan.Change {
	return plan.Change{
		Identity: fmt.Sprintf("change-%d", c.priority), Base: c.state.Version(plan.ListAllowances),
		List: plan.ListAllowances, Kind: plan.KindPublish,
		Allowances: []plan.Allowance{{Plan: "Desk", Priority: c.priority}},
	}
}

func (c *configurationScript) publisher() *configuration.Publisher {
	log := &operatorLog{fakeLog: c.log, cluster: c.Cluster}
	return configuration.NewPublisher(log, logstream.NewPublisher(c.common(), log, appendTimeout), configurationStream)
}

// read lets the operator of a change read the state in force.
func (c *configurationScript) read(wanted *change) {
	c.advanceUntilDone(func(ctx context.Context) {
		state, err := c.publisher().Read(ctx)
		wanted.state, wanted.hasState = state, err == nil
	})
}

// submit lets an operator submit a change, after reading the state if needed. A
// change without a verdict can be submitted again.
func (c *configurationScript) submit(wanted *change) {
	if !wanted.hasState {
		c.read(wanted)
	}
	if !wanted.hasState {
		return
	}
	c.advanceUntilDone(func(ctx context.Context) {
		verdict, err := c.publisher().Submit(ctx, wanted.state, wanted.payload())
		wanted.verdict, wanted.hasVerdict = verdict, err == nil
	})
	if wanted.hasVerdict && wanted.verdict.Accepted {
		c.record.update(func() { c.record.Accepted = append(c.record.Accepted, wanted.priority) })
	}
}

// publish creates the next change and submits it once.
func (c *configurationScript) publish() *change {
	wanted := c.newChange()
	c.submit(wanted)
	return wanted
}

func (c *configurationScript) newChange() *change {
	c.record.update(func() { c.priority++ })
	wanted := &change{priority: c.priority}
	c.changes = append(c.changes, wanted)
	return wanted
}

// race lets two operators publish changes based on the same state. resubmitPending
// checks that at most one of them is accepted.
func (c *configurationScript) race() {
	one, other := c.newChange(), c.newChange()
	c.read(one)
	c.read(other)
	c.submit(one)
	c.submit(other)
	c.raced = append(c.raced, [2]*change{one, other})
}

// resubmitPending resubmits all changes without a verdict, and checks the verdicts.
func (c *configurationScript) resubmitPending() {
	for _, wanted := range c.changes {
		if !wanted.hasVerdict {
			c.submit(wanted)
		}
		c.record.expect(wanted.hasVerdict, fmt.Sprintf("change %d got no verdict", wanted.priority))
	}
	for _, pair := range c.raced {
		both := pair[0].verdict.Accepted && pair[1].verdict.Accepted
		c.record.expect(!both, "two changes based on the same state were accepted")
	}
}

// advanceUntilDone runs an operator's call and advances the clock until it returns.
func (c *configurationScript) advanceUntilDone(call func(ctx context.Context)) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), c.Clock, operatorTimeout)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		call(ctx)
	}()
	for {
		select {
		case <-done:
			return
		case <-time.After(pollInterval):
			c.Clock.Advance(clockStep)
		}
	}
}

// publishPlans publishes the plan that all allowances refer to.
func (c *configurationScript) publishPlans() {
	first := plan.Change{Identity: "plans", List: plan.ListPlans, Kind: plan.KindPublish, Plans: []plan.Plan{{Name: "Desk"}}}
	verdict, err := c.publisher().Submit(context.Background(), plan.State{}, first)
	c.record.expect(err == nil && verdict.Accepted, fmt.Sprintf("the plans were not published: %v, verdict %v", err, verdict.Err))
}

var _ hosting.Log = (*operatorLog)(nil)
