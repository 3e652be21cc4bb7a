package matrix

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Order is one order that a daemon has begun to give.
type Order struct {
	Daemon  string
	Engine  string
	Fencing uint64
}

// orderedEngine is the engine of a runner that takes orders.
type orderedEngine struct {
	hosting.Engine
	world         *World
	name          string
	checksFencing bool

	mu     sync.Mutex
	models []string
	seen   uint64
}

func (e *orderedEngine) loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.models)
}

// apply carries out an order, unless its number is old and checked.
func (e *orderedEngine) apply(order hosting.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFencing && order.Fencing < e.seen {
		return &hosting.FencedError{Fencing: order.Fencing, Seen: e.seen}
	}
	e.seen, e.models = max(e.seen, order.Fencing), order.Models
	return nil
}

// engineAt is an engine as one daemon reaches it.
type engineAt struct {
	*orderedEngine
	node *node
}

// Load implements hosting.Engine.
func (e *engineAt) Load(ctx context.Context) (hosting.LoadReport, error) {
	if e.node.isDead() {
		return hosting.LoadReport{}, &hosting.UnavailableError{Service: "engine"}
	}
	if e.name == "r1" && e.node != e.world.nodes[0] && e.world.reach(StepReconcile) == hang {
		<-ctx.Done()
		return hosting.LoadReport{}, &hosting.UnavailableError{Service: "engine", Cause: ctx.Err()}
	}
	return hosting.LoadReport{Models: e.loaded()}, nil
}

// Order implements hosting.Engine.
func (e *engineAt) Order(ctx context.Context, order hosting.Order) error {
	if e.node.isDead() {
		return &hosting.UnavailableError{Service: "engine"}
	}
	e.world.record.with(func() {
		e.world.record.Orders = append(e.world.record.Orders, Order{Daemon: e.node.name, Engine: e.name, Fencing: order.Fencing})
	})
	switch e.world.reach(StepOrder) {
	case hang:
		<-ctx.Done()
		return &hosting.UncertainError{Service: "engine", Cause: ctx.Err()}
	case abort:
		// The order takes effect, whatever its answer would have been.
		_ = e.apply(order)
		return &hosting.UncertainError{Service: "engine"}
	}
	return e.apply(order)
}

// orderedCloud starts no VM.
type orderedCloud struct {
	hosting.Cloud
	world *World
}

// Start implements hosting.Cloud.
func (c *orderedCloud) Start(_ context.Context, request hosting.StartRequest) (hosting.VM, error) {
	return hosting.VM{}, &hosting.RefusedError{Zone: request.Zone, Class: request.Class}
}

// orderedWeights is a weight store without a wait.
type orderedWeights struct{ world *World }

// Size implements hosting.WeightStore.
func (*orderedWeights) Size(context.Context, string) (int64, error) { return 1, nil }

// Reserve implements hosting.WeightStore.
func (w *orderedWeights) Reserve(context.Context, int64) (time.Duration, error) {
	w.world.reach(stepReserve)
	return 0, nil
}
