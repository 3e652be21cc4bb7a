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
func (o *Controller) runRounds(ctx context.Context) {
	for ctx.Err() == nil {
		o.round(ctx)
		// The loop condition checks ctx.
		_ = clock.Sleep(ctx, o.Clock, o.options.RoundInterval)
	}
}

// round sends the orders that are due, if this process holds the lease.
func (o *Controller) round(ctx context.Context) {
	number, isHolding := o.Holding()
	if !isHolding {
		o.term = term{}
		return
	}
	if o.term.planner == nil || o.term.number != number {
		o.term = term{
			number: number, planner: placement.New(o.options.Placement),
			transfers: make(map[string]time.Time),
		}
	}
	inputs := o.inputs()
	if len(inputs.VMs) == 0 {
		return
	}
	inputs = inputs.WithReports(o.loadReports(ctx, inputs.VMs))
	for _, load := range o.startVMs(ctx, inputs).Loads {
		o.orderModels(ctx, load)
	}
}

// startVMs starts the VMs that are due and returns the last decision. After a refusal
// it plans again, so that the next offer is tried at once.
func (o *Controller) startVMs(ctx context.Context, inputs placement.Inputs) placement.Decision {
	var decision placement.Decision
	for range len(inputs.Offers) + 1 {
		decision = o.term.planner.Plan(inputs, o.Clock.Now())
		isDone := true
		for _, request := range decision.Starts {
			if isDone = o.startVM(ctx, request); !isDone {
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
func (o *Controller) withLease(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	number, isHolding := o.Holding()
	if !isHolding || number != o.term.number || ctx.Err() != nil {
		o.Count(CounterLapsed, 1)
		return nil, nil, false
	}
	o.mu.Lock()
	left := o.holder.ExpiresAt().Sub(o.Clock.Now())
	o.mu.Unlock()
	bounded, cancel := o.withTimeout(ctx, min(left, o.options.OrderTimeout))
	return bounded, cancel, true
}

// startVM asks the cloud for a VM. It returns false when the remaining starts of the
// round have to be planned again.
func (o *Controller) startVM(ctx context.Context, request hosting.StartRequest) bool {
	bounded, cancel, isHeld := o.withLease(ctx)
	if !isHeld {
		return false
	}
	defer cancel()
	o.Count(CounterStarts, 1)
	vm, err := o.cloud.Start(bounded, request)
	now := o.Clock.Now()
	var refused *hosting.NoCapacityError
	switch {
	case errors.As(err, &refused):
		o.Count(CounterStartsRefused, 1)
		o.term.planner.Refused(request, now)
		return false
	case err != nil:
		o.Count(CounterStartsFailed, 1)
		o.term.planner.Unanswered(now)
		return false
	}
	o.term.planner.Started(request, vm, now)
	o.Events.Record(telemetry.Event{Kind: "VMStarted", Backend: vm.Name, Detail: request.Identity})
	return true
}

// orderModels sends a runner its models once the weight store can serve the transfer.
func (o *Controller) orderModels(ctx context.Context, load placement.LoadOrder) {
	if !o.isTransferDue(ctx, load) {
		return
	}
	bounded, cancel, isHeld := o.withLease(ctx)
	if !isHeld {
		return
	}
	defer cancel()
	o.Count(CounterLoads, 1)
	err := o.engines(load.VM).Order(bounded, hosting.Order{Fencing: o.term.number, Models: load.Models})
	var unavailable *hosting.UnavailableError
	var fenced *hosting.FencedError
	switch {
	case errors.As(err, &unavailable):
		o.Count(CounterLoadsFailed, 1)
		return
	case errors.As(err, &fenced):
		o.Count(CounterFenced, 1)
	case err != nil:
		o.Count(CounterLoadsFailed, 1)
	}
	// If the response was lost, the next load reports show the result.
	delete(o.term.transfers, transferKey(load))
	o.term.planner.Ordered(load.VM.Name, o.Clock.Now())
	o.Events.Record(telemetry.Event{Kind: "ModelsOrdered", Backend: load.VM.Name, Detail: strings.Join(load.Models, ",")})
}

// isTransferDue reserves the transfer of the missing models, once, and reports whether
// the weight store can serve it now.
func (o *Controller) isTransferDue(ctx context.Context, load placement.LoadOrder) bool {
	if len(load.Missing) == 0 {
		return true
	}
	key := transferKey(load)
	due, isReserved := o.term.transfers[key]
	if !isReserved {
		wait, err := o.reserve(ctx, load.Missing)
		if err != nil {
			o.Count(CounterLoadsFailed, 1)
			return false
		}
		due = o.Clock.Now().Add(wait)
		o.term.transfers[key] = due
	}
	return !o.Clock.Now().Before(due)
}

// reserve reserves the transfer of the models at the weight store. It returns how long
// to wait before the transfer.
func (o *Controller) reserve(ctx context.Context, models []string) (time.Duration, error) {
	bounded, cancel, isHeld := o.withLease(ctx)
	if !isHeld {
		return 0, &LapsedError{Number: o.term.number}
	}
	defer cancel()
	total := int64(0)
	for _, model := range models {
		size, err := o.weights.Size(bounded, model)
		if err != nil {
			return 0, err
		}
		total += size
	}
	return o.weights.Reserve(bounded, total)
}

func transferKey(load placement.LoadOrder) string {
	return load.VM.Name + "/" + strings.Join(load.Missing, ",")
}
