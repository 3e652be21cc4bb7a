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

// competePause is the real time between two steps of the fake clock while daemons
// compete for the lease.
const competePause = time.Millisecond

// orderScript runs one fault at one step of orders under a lease. An order lists the
// models that a runner must load. Only the daemon that holds the lease of the duty
// "Orders" may send orders.
//
// Two daemons compete for the duty; one runner has one of three wanted models and
// two runners have none. The fault is injected when the lease is requested, when
// the first order arrives at a runner, or when the second daemon, after the death
// of the first one, requests a runner's load report. Then all faults end, and each
// model must get a runner.
type orderScript struct {
	*Cluster
	step        Step
	first       *node
	second      *node
	controllers map[*node]*order.Controller
	cancels     map[*node]context.CancelFunc
	// compete starts a daemon's competition for the duty.
	compete map[*node]func()
	engines map[string]*fakeEngine
	cloud   *fakeCloud
}

// orderFault injects a fault at the step of the script.
type orderFault func(o *orderScript) action

// orderCell returns a function that runs the fault of the row at the step.
func orderCell(row Row, step Step) func(options, uint64) []error {
	return func(options options, seed uint64) []error {
		cluster, err := newCluster(options, seed)
		if err != nil {
			return []error{err}
		}
		o := &orderScript{
			Cluster: cluster, step: step, first: cluster.nodes[0], second: cluster.nodes[1],
			controllers: make(map[*node]*order.Controller), cancels: make(map[*node]context.CancelFunc),
			compete: make(map[*node]func()),
			cloud:   &fakeCloud{cluster: cluster},
		}
		o.engines = map[string]*fakeEngine{
			"r0": {cluster: cluster, name: "r0", models: []string{"a"}, checksFencing: true},
			"r1": {cluster: cluster, name: "r1"}, "r2": {cluster: cluster, name: "r2"},
		}
		o.prepare(o.first)
		o.prepare(o.second)
		o.run(orderFaults[row], hookStep(row, step))
		o.stop()
		cluster.close()
		return Check(cluster.record)
	}
}

// hookStep returns the step at which the fault is injected. A holder is paused between
// the check of its lease and the order, while the weight store answers.
func hookStep(row Row, step Step) Step {
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
		o.killFirst()
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

// prepare creates the order controller of a daemon.
func (o *orderScript) prepare(n *node) {
	options := order.DefaultOptions()
	options.Duty, options.Daemon, options.Incarnation, options.MaxAcquireDelay = "Orders", n.name, "1", 0
	controller := order.New(n.Common, options, n.log, o.cloud, &fakeWeightStore{cluster: o.Cluster},
		func(vm hosting.VM) hosting.Engine { return &nodeEngine{fakeEngine: o.engines[vm.Name], node: n} }, o.inputs)
	ctx, cancel := context.WithCancel(context.Background())
	o.controllers[n], o.cancels[n] = controller, cancel
	o.compete[n] = func() { go controller.Run(ctx) }
}

// inputs returns the placement inputs from which the orders are decided.
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

// isServed reports whether each wanted model is loaded on a runner.
func (o *orderScript) isServed() bool {
	var models []string
	for _, engine := range o.engines {
		models = append(models, engine.loaded()...)
	}
	return slices.Contains(models, "a") && slices.Contains(models, "b") && slices.Contains(models, "c")
}

func (o *orderScript) isHolding(n *node) bool {
	_, isHolding := o.controllers[n].Holding()
	return isHolding
}

// await advances the clock until the condition holds.
func (o *orderScript) await(condition func() bool) bool {
	return o.Cluster.await(func() bool {
		o.Clock.Advance(clockStep)
		time.Sleep(competePause)
		return condition()
	})
}

// killFirst kills the first daemon, which doesn't release its lease.
func (o *orderScript) killFirst() {
	o.first.kill()
	o.first.log.setCut(cutBoth)
	o.cancels[o.first]()
}

// stop shuts down all order controllers gracefully.
func (o *orderScript) stop() {
	for n, controller := range o.controllers {
		o.cancels[n]()
		o.record.expect(o.await(func() bool { return isDone(controller.Done()) }), fmt.Sprintf("%s did not stop", n.name))
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
