// Package order gives orders to the engines and to the cloud, as the one
// process that holds the lease of the duty.
//
// Three goroutines share the work. One reads the stream of the leases, one
// appends to it, and one decides and orders in rounds. The lease is checked
// immediately before every order, every order carries its number, and no
// order is waited for beyond the end of the lease. An order that still
// arrives after that is refused by an engine that checks fencing numbers; on
// others the next holder sees its effect in the reports and orders again
// what it wants.
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
	CounterAppends       = "Order.Appends"
	CounterAppendsFailed = "Order.AppendsFailed"
	CounterReadsFailed   = "Order.ReadsFailed"
	CounterRefused       = "Order.RecordsWithoutEffect"
	CounterLoads         = "Order.Loads"
	CounterLoadsFailed   = "Order.LoadsFailed"
	CounterFenced        = "Order.Fenced"
	CounterStarts        = "Order.Starts"
	CounterStartsRefused = "Order.StartsRefused"
	CounterStartsFailed  = "Order.StartsFailed"
	CounterLapsed        = "Order.LapsedBeforeOrder"
)

// Order carries out the duty for one process.
type Order struct {
	telemetry.Common
	options Options
	log     hosting.Log
	cloud   hosting.Cloud
	weights hosting.WeightStore
	engines func(vm hosting.VM) hosting.Engine
	inputs  func() placement.Inputs
	// done is closed by Run when its goroutines have ended.
	done chan struct{}
	// rounds belongs to the goroutine that orders.
	rounds tenure

	mu     sync.Mutex
	holder *lease.Holder
	// isCaughtUp is true once the stream has been read to its end.
	isCaughtUp bool
	// heard is when the last record was read that may have left the duty
	// with a holder; zero when the duty is free.
	heard time.Time
	// free is when the duty was first seen to be free; zero while it is not.
	free time.Time
	// sent is when the last append was made.
	sent time.Time
	// wasHolding is whether the last look found the lease held here.
	wasHolding bool
}

// New returns an Order that does nothing before Run. inputs returns what is
// known without the load reports; the duty is left alone while it returns no
// VMs.
func New(common telemetry.Common, options Options, log hosting.Log, cloud hosting.Cloud, weights hosting.WeightStore,
	engines func(vm hosting.VM) hosting.Engine, inputs func() placement.Inputs,
) *Order {
	return &Order{
		Common: common, options: options, log: log, cloud: cloud, weights: weights,
		engines: engines, inputs: inputs, done: make(chan struct{}),
		holder: lease.NewHolder(options.identity(), options.Lease, 0),
	}
}

// Run competes for the lease and gives orders until ctx ends. It then
// releases the lease. It is called once.
func (o *Order) Run(ctx context.Context) {
	defer close(o.done)
	var parts sync.WaitGroup
	parts.Go(func() { o.runReader(ctx) })
	parts.Go(func() { o.runAppender(ctx) })
	parts.Go(func() { o.runRounds(ctx) })
	parts.Wait()
	o.release(context.WithoutCancel(ctx))
}

// Done is closed when Run has returned.
func (o *Order) Done() <-chan struct{} { return o.done }

// Holding returns the number of the lease and whether it is held here now.
func (o *Order) Holding() (uint64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	number, isHolding := o.holder.Holding(o.Clock.Now())
	if isHolding != o.wasHolding {
		o.wasHolding = isHolding
		o.Log.Info("Lease has changed", "Duty", o.options.Duty, "Number", number, "Holding", isHolding)
		o.Events.Record(telemetry.Event{Kind: "LeaseChanged", Detail: describe(o.options.Duty, number, isHolding)})
	}
	return number, isHolding
}

// withTimeout returns a context that the passed clock ends after d.
func (o *Order) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	timer := o.Clock.AfterFunc(d, cancel)
	return bounded, func() {
		timer.Stop()
		cancel()
	}
}

// describe returns the detail of an event of the time line.
func describe(duty string, number uint64, isHolding bool) string {
	if isHolding {
		return fmt.Sprintf("%s is held under lease %d", duty, number)
	}
	return fmt.Sprintf("%s is no longer held under lease %d", duty, number)
}
