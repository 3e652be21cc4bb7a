package matrix

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Order is one order that a daemon has started to send.
type Order struct {
	Daemon  string
	Engine  string
	Fencing uint64
}

// fakeEngine is the engine of a runner that receives orders.
type fakeEngine struct {
	hosting.Engine
	cluster       *Cluster
	name          string
	checksFencing bool

	mu             sync.Mutex
	models         []string
	highestFencing uint64
}

func (e *fakeEngine) loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.models)
}

// apply applies an order. An engine that checks fencing rejects an order with an
// outdated fencing token.
func (e *fakeEngine) apply(order hosting.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFencing && order.Fencing < e.highestFencing {
		return &hosting.FencedError{Fencing: order.Fencing, Seen: e.highestFencing}
	}
	e.highestFencing, e.models = max(e.highestFencing, order.Fencing), order.Models
	return nil
}

// nodeEngine is one daemon's connection to an engine.
type nodeEngine struct {
	*fakeEngine
	node *node
}

// Load implements hosting.Engine.
func (e *nodeEngine) Load(ctx context.Context) (hosting.LoadReport, error) {
	if e.node.isDead() {
		return hosting.LoadReport{}, &hosting.UnavailableError{Service: "engine"}
	}
	// At StepReconcile, another daemon than the first requests the load report of r1.
	if e.name == "r1" && e.node != e.cluster.nodes[0] && e.cluster.runHook(StepReconcile) == hang {
		<-ctx.Done()
		return hosting.LoadReport{}, &hosting.UnavailableError{Service: "engine", Cause: ctx.Err()}
	}
	return hosting.LoadReport{Models: e.loaded()}, nil
}

// Order implements hosting.Engine.
func (e *nodeEngine) Order(ctx context.Context, order hosting.Order) error {
	if e.node.isDead() {
		return &hosting.UnavailableError{Service: "engine"}
	}
	e.cluster.record.update(func() {
		e.cluster.record.Orders = append(e.cluster.record.Orders, Order{Daemon: e.node.name, Engine: e.name, Fencing: order.Fencing})
	})
	switch e.cluster.runHook(StepOrder) {
	case hang:
		<-ctx.Done()
		return &hosting.UncertainError{Service: "engine", Cause: ctx.Err()}
	case abort:
		// The order is applied, but its result is lost.
		_ = e.apply(order)
		return &hosting.UncertainError{Service: "engine"}
	}
	return e.apply(order)
}

// fakeCloud refuses to start VMs.
type fakeCloud struct {
	hosting.Cloud
	cluster *Cluster
}

// Start implements hosting.Cloud.
func (c *fakeCloud) Start(_ context.Context, request hosting.StartRequest) (hosting.VM, error) {
	return hosting.VM{}, &hosting.NoCapacityError{Zone: request.Zone, Class: request.Class}
}

// fakeWeightStore is a weight store without delays.
type fakeWeightStore struct{ cluster *Cluster }

// Size implements hosting.WeightStore.
func (*fakeWeightStore) Size(context.Context, string) (int64, error) { return 1, nil }

// Reserve implements hosting.WeightStore.
func (w *fakeWeightStore) Reserve(context.Context, int64) (time.Duration, error) {
	w.cluster.runHook(stepReserve)
	return 0, nil
}
