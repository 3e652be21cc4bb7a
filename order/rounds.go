package order

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/placement"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// term is the state that the holder keeps for one lease.
type term struct {
	number uint64
	// planner is nil while the lease is not held.
	planner *placement.Planner
	// transfers has the start times of the transfers reserved at the weight
	// store, by runner and models.
	transfers map[string]time.Time
}

// runRounds plans and sends orders until ctx ends.
func (c *Controller) runRounds(ctx context.Context) {
	for ctx.Err() == nil {
		c.round(ctx)
		// Sleep fails only when ctx has ended, which the loop condition checks.
		_ = clock.Sleep(ctx, c.Clock, c.options.RoundInterval)
	}
}

// round sends the orders that are due, if this process holds the lease.
func (c *Controller) round(ctx context.Context) {
	number, isHolding := c.Holding()
	if !isHolding {
		c.term = term{}
		return
	}
	if c.term.planner == nil || c.term.number != number {
		c.term = term{
			number: number, planner: placement.New(c.options.Placement),
			transfers: make(map[string]time.Time),
		}
	}
	inputs := c.inputs()
	if len(inputs.VMs) == 0 {
		return
	}
	inputs = inputs.WithReports(c.loadReports(ctx, inputs.VMs))
	for _, load := range c.startVMs(ctx, inputs).Loads {
		c.orderModels(ctx, load)
	}
}

// startVMs starts the VMs that are due and returns the last decision. After a refusal
// it plans again, so that the next offer is tried at once.
func (c *Controller) startVMs(ctx context.Context, inputs placement.Inputs) placement.Decision {
	var decision placement.Decision
	for range len(inputs.Offers) + 1 {
		decision = c.term.planner.Plan(inputs, c.Clock.Now())
		isDone := true
		for _, request := range decision.Starts {
			if isDone = c.startVM(ctx, request); !isDone {
				break
			}
		}
		if isDone {
			break
		}
	}
	return decision
}

// withLease checks the lease before an order. It returns a context that ends no later
// than the lease, or false when the lease of this term is not held.
func (c *Controller) withLease(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	number, isHolding := c.Holding()
	if !isHolding || number != c.term.number || ctx.Err() != nil {
		c.Count(CounterLapsed, 1)
		return nil, nil, false
	}
	c.mu.Lock()
	remaining := c.holder.ExpiresAt().Sub(c.Clock.Now())
	c.mu.Unlock()
	bounded, cancel := c.withTimeout(ctx, min(remaining, c.options.OrderTimeout))
	return bounded, cancel, true
}

// startVM asks the cloud for a VM. It returns false when the remaining starts of the
// round have to be planned again.
func (c *Controller) startVM(ctx context.Context, request hosting.StartRequest) bool {
	bounded, cancel, isHeld := c.withLease(ctx)
	if !isHeld {
		return false
	}
	defer cancel()
	c.Count(CounterStarts, 1)
	vm, err := c.cloud.Start(bounded, request)
	now := c.Clock.Now()
	var refused *hosting.NoCapacityError
	switch {
	case errors.As(err, &refused):
		c.Count(CounterStartsRefused, 1)
		c.term.planner.Refused(request, now)
		return false
	case err != nil:
		c.Count(CounterStartsFailed, 1)
		c.term.planner.Unanswered(now)
		return false
	}
	c.term.planner.Started(request, vm, now)
	c.Events.Record(telemetry.Event{Kind: "VMStarted", Backend: vm.Name, Detail: request.Identity})
	return true
}

// orderModels sends a runner its models once the weight store can serve the transfer.
func (c *Controller) orderModels(ctx context.Context, load placement.LoadOrder) {
	if !c.isTransferDue(ctx, load) {
		return
	}
	bounded, cancel, isHeld := c.withLease(ctx)
	if !isHeld {
		return
	}
	defer cancel()
	c.Count(CounterLoads, 1)
	err := c.engines(load.VM).Order(bounded, hosting.Order{Fencing: c.term.number, Models: load.Models})
	var unavailable *hosting.UnavailableError
	var fenced *hosting.FencedError
	switch {
	case errors.As(err, &unavailable):
		c.Count(CounterLoadsFailed, 1)
		return
	case errors.As(err, &fenced):
		c.Count(CounterFenced, 1)
	case err != nil:
		c.Count(CounterLoadsFailed, 1)
	}
	// If the response was lost, the next load reports show the result.
	delete(c.term.transfers, transferKey(load))
	c.term.planner.Ordered(load.VM.Name, c.Clock.Now())
	c.Events.Record(telemetry.Event{Kind: "ModelsOrdered", Backend: load.VM.Name, Detail: strings.Join(load.Models, ",")})
}

// isTransferDue reserves the transfer of the missing models, once, and reports whether
// the weight store can serve it now.
func (c *Controller) isTransferDue(ctx context.Context, load placement.LoadOrder) bool {
	if len(load.Missing) == 0 {
		return true
	}
	key := transferKey(load)
	due, isReserved := c.term.transfers[key]
	if !isReserved {
		wait, err := c.reserve(ctx, load.Missing)
		if err != nil {
			c.Count(CounterLoadsFailed, 1)
			return false
		}
		due = c.Clock.Now().Add(wait)
		c.term.transfers[key] = due
	}
	return !c.Clock.Now().Before(due)
}

// reserve reserves the transfer of the models at the weight store. It returns how long
// to wait before the transfer.
func (c *Controller) reserve(ctx context.Context, models []string) (time.Duration, error) {
	bounded, cancel, isHeld := c.withLease(ctx)
	if !isHeld {
		return 0, &LapsedError{Number: c.term.number}
	}
	defer cancel()
	total := int64(0)
	for _, model := range models {
		size, err := c.weights.Size(bounded, model)
		if err != nil {
			return 0, err
		}
		total += size
	}
	return c.weights.Reserve(bounded, total)
}

func transferKey(load placement.LoadOrder) string {
	return load.VM.Name + "/" + strings.Join(load.Missing, ",")
}
