package matrix

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/order"
	"github.com/cranberrywalk/cranberrywalk/placement"
	"github.com/cranberrywalk/cranberrywalk/plan"
)

// competePause is the pause, on the machine's clock, between two steps of the
// clock while daemons compete for the lease.
const competePause = time.Millisecond

// orderScript carries orders under a lease through one fault at one step.
//
// Given are two daemons that compete for the duty, a runner with one of three
// wanted models and two runners without any. The fault is caused when the duty
// is asked for, when the first order arrives at a runner, or when the second
// daemon, after the death of the first one, asks a runner for its report.
// Then the faults heal, and a runner with each model has to be there.
type orderScript struct {
	*Cluster
	step    Step
	first   *node
	second  *node
	orders  map[*node]*order.Order
	cancels map[*node]context.CancelFunc
	// compete lets a daemon ask for the duty.
	compete map[*node]func()
	engines map[string]*fakeEngine
	cloud   *fakeCloud
}

// orderFault causes a fault at the step of the script.
type orderFault func(o *orderScript) action

// orderCell runs the fault of the row at the step.
func orderCell(row Row, step Step) func(options, uint64) []error {
	return func(options options, seed uint64) []error {
		w, err := newCluster(options, seed)
		if err != nil {
			return []error{err}
		}
		o := &orderScript{
			Cluster: w, step: step, first: w.nodes[0], second: w.nodes[1],
			orders: make(map[*node]*order.Order), cancels: make(map[*node]context.CancelFunc),
			compete: make(map[*node]func()),
			cloud:   &fakeCloud{cluster: w},
		}
		o.engines = map[string]*fakeEngine{
			"r0": {cluster: w, name: "r0", models: []string{"a"}, checksFencing: true}, "r1": {cluster: w, name: "r1"}, "r2": {cluster: w, name: "r2"},
		}
		o.prepare(o.first)
		o.prepare(o.second)
		o.run(orderFaults[row], hookOf(row, step))
		o.stop()
		w.close()
		return Check(w.record)
	}
}

// hookOf returns where the fault is caused. A holder is paused between the look
// at its lease and the order, while the weight store answers.
func hookOf(row Row, step Step) Step {
	if row == RowHolderPaused && step == StepOrder {
		return stepReserve
	}
	return step
}

func (o *orderScript) run(fault orderFault, step Step) {
	h := o.setHook(nil, step, func() action { return fault(o) })
	o.compete[o.first]()
	if o.step != StepReconcile {
		o.record.expect(o.await(func() bool { return o.hookReached(h) }), "the step was not reached")
	} else {
		o.record.expect(o.await(func() bool { return o.isHolding(o.first) }), "the first daemon did not get the duty")
	}
	o.compete[o.second]()
	if o.step == StepReconcile {
		o.killHolder()
		o.record.expect(o.await(func() bool { return o.hookReached(h) }), "the step was not reached")
	}
	<-h.done
	o.heal()
	o.record.expect(o.await(o.isServed), "a wanted model has no runner")
}

// hookReached reports whether the hook has been called.
func (o *orderScript) hookReached(h *hook) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return h.reached
}

// prepare makes the part of a daemon that competes for the duty.
func (o *orderScript) prepare(n *node) {
	options := order.DefaultOptions()
	options.Duty, options.Daemon, options.Incarnation, options.AcquireSpread = "Orders", n.name, "1", 0
	ordering := order.New(n.Common, options, n.log, o.cloud, &fakeWeightStore{cluster: o.Cluster},
		func(vm hosting.VM) hosting.Engine { return &nodeEngine{fakeEngine: o.engines[vm.Name], node: n} }, o.inputs)
	ctx, cancel := context.WithCancel(context.Background())
	o.orders[n], o.cancels[n] = ordering, cancel
	o.compete[n] = func() { go ordering.Run(ctx) }
}

// inputs are what the orders are decided from.
func (o *orderScript) inputs() placement.Inputs {
	var inputs placement.Inputs
	for _, name := range []string{"r0", "r1", "r2"} {
		inputs.VMs = append(inputs.VMs, hosting.VM{
			Name: name, Role: hosting.RoleRunner, Zone: zoneA, Class: "c", Address: name, Reclaimable: true, Price: 1,
		})
	}
	inputs.Allowances = []plan.Allowance{{Plan: "Desk", Models: []string{"a", "b", "c"}}}
	inputs.Offers = []placement.Offer{{Zone: zoneA, Class: "c", Reclaimable: true, Price: 1}}
	inputs.Demands = []placement.Demand{{Model: "a", Rate: 1}, {Model: "b", Rate: 1}, {Model: "c", Rate: 1}}
	return inputs
}

// isServed reports whether each wanted model is on a runner.
func (o *orderScript) isServed() bool {
	var models []string
	for _, engine := range o.engines {
		models = append(models, engine.loaded()...)
	}
	return slices.Contains(models, "a") && slices.Contains(models, "b") && slices.Contains(models, "c")
}

func (o *orderScript) isHolding(n *node) bool {
	_, isHolding := o.orders[n].Holding()
	return isHolding
}

// await moves the clock on until the condition holds.
func (o *orderScript) await(condition func() bool) bool {
	return o.Cluster.await(func() bool {
		o.Clock.Advance(clockStep)
		time.Sleep(competePause)
		return condition()
	})
}

// killHolder ends the first daemon without a release.
func (o *orderScript) killHolder() {
	o.first.kill()
	o.first.log.setCut(cutBoth)
	o.cancels[o.first]()
}

// stop ends the daemons in their planned way.
func (o *orderScript) stop() {
	for n, ordering := range o.orders {
		o.cancels[n]()
		o.record.expect(o.await(func() bool { return isDone(ordering.Done()) }), fmt.Sprintf("%s did not stop", n.name))
	}
}

func isDone(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
