// Package order sends orders to the engines and to the cloud from the one process
// that holds the lease.
//
// Three goroutines share the work. One reads the stream of lease records, one
// appends to it, and one plans and sends orders in rounds. The lease is checked
// immediately before every order, every order to an engine carries the number of the
// lease as the fencing token, and no order is waited for beyond the end of the lease.
// An order that arrives later is refused by an engine that checks fencing tokens. With
// other engines, the next holder sees the effect in the load reports and corrects it.
package order

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/lease"
	"github.com/cranberrywalk/cranberrywalk/placement"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// The counters of this package.
const (
	CounterAppends              = "Order.Appends"
	CounterAppendsFailed        = "Order.AppendsFailed"
	CounterReadsFailed          = "Order.ReadsFailed"
	CounterRecordsWithoutEffect = "Order.RecordsWithoutEffect"
	CounterLoads                = "Order.Loads"
	CounterLoadsFailed          = "Order.LoadsFailed"
	CounterFenced               = "Order.Fenced"
	CounterStarts               = "Order.Starts"
	CounterStartsRefused        = "Order.StartsRefused"
	CounterStartsFailed         = "Order.StartsFailed"
	CounterLapsed               = "Order.LapsedBeforeOrder"
)

// Controller competes for the lease and sends orders while it holds it.
type Controller struct {
	telemetry.Common
	options Options
	log     hosting.Log
	cloud   hosting.Cloud
	weights hosting.WeightStore
	engines func(vm hosting.VM) hosting.Engine
	inputs  func() placement.Inputs
	// done is closed when Run has returned.
	done chan struct{}
	// term is used only by the goroutine that runs the rounds.
	term term

	mu     sync.Mutex
	holder *lease.Holder
	// isCaughtUp is true once the stream has been read to its end.
	isCaughtUp bool
	// lastHeld is the last time at which a read showed that a process may hold
	// the lease; zero while the lease is free.
	lastHeld time.Time
	// freeSince is when the lease was first seen to be free; zero while it is not.
	freeSince time.Time
	// lastAppend is when the last append was started.
	lastAppend time.Time
	// wasHolding is the result of the last call of Holding.
	wasHolding bool
}

// New returns a Controller that does nothing before Run. inputs returns the inputs of the
// planner except the load reports; no orders are sent while it returns no VMs.
func New(common telemetry.Common, options Options, log hosting.Log, cloud hosting.Cloud, weights hosting.WeightStore,
	engines func(vm hosting.VM) hosting.Engine, inputs func() placement.Inputs,
) *Controller {
	return &Controller{
		Common: common, options: options, log: log, cloud: cloud, weights: weights,
		engines: engines, inputs: inputs, done: make(chan struct{}),
		holder: lease.NewHolder(options.identity(), options.Lease, 0),
	}
}

// Run competes for the lease and sends orders until ctx ends. It then releases the
// lease. It must be called only once.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.done)
	var loops sync.WaitGroup
	loops.Go(func() { c.runReader(ctx) })
	loops.Go(func() { c.runAppender(ctx) })
	loops.Go(func() { c.runRounds(ctx) })
	loops.Wait()
	c.release(context.WithoutCancel(ctx))
}

// Done returns a channel that is closed when Run has returned.
func (c *Controller) Done() <-chan struct{} { return c.done }

// Holding returns the number of the lease and whether this process holds it now.
func (c *Controller) Holding() (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number, isHolding := c.holder.Holding(c.Clock.Now())
	if isHolding != c.wasHolding {
		c.wasHolding = isHolding
		c.Log.Info("Lease state has changed", "Duty", c.options.Duty, "Number", number, "Holding", isHolding)
		c.Events.Record(telemetry.Event{Kind: "LeaseChanged", Detail: describe(c.options.Duty, number, isHolding)})
	}
	return number, isHolding
}

// withTimeout returns a context that ends after d as measured by o.Clock.
func (c *Controller) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	timer := c.Clock.AfterFunc(d, cancel)
	return bounded, func() {
		timer.Stop()
		cancel()
	}
}

// describe returns the detail of a LeaseChanged event.
func describe(duty string, number uint64, isHolding bool) string {
	if isHolding {
		return fmt.Sprintf("%s is held under lease %d", duty, number)
	}
	return fmt.Sprintf("%s is no longer held under lease %d", duty, number)
}
