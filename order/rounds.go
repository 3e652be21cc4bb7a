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

// tenure is what the holder remembers under one lease.
type tenure struct {
	number uint64
	// planner is nil while the lease is not held.
	planner *placement.Planner
	// transfers has when the weight store serves the reserved transfers, by
	// runner and models.
	transfers map[string]time.Time
}

// runRounds decides and orders until ctx ends.
func (o *Order) runRounds(ctx context.Context) {
	for ctx.Err() == nil {
		o.round(ctx)
		// The loop sees the end of ctx.
		_ = clock.Sleep(ctx, o.Clock, o.options.RoundInterval)
	}
}

// round gives the orders that are due now, if the lease is held.
func (o *Order) round(ctx context.Context) {
	number, isHolding := o.Holding()
	if !isHolding {
		o.rounds = tenure{}
		return
	}
	if o.rounds.planner == nil || o.rounds.number != number {
		o.rounds = tenure{
			number: number, planner: placement.New(o.options.Placement),
			transfers: make(map[string]time.Time),
		}
	}
	inputs := o.inputs()
	if len(inputs.VMs) == 0 {
		return
	}
	inputs = inputs.WithReports(o.reports(ctx, inputs.VMs))
	for _, load := range o.startVMs(ctx, inputs).Loads {
		o.load(ctx, load)
	}
}

// startVMs makes the starts that are due and returns the last decision. After
// a refusal it decides anew, so that the next offer is tried at once.
func (o *Order) startVMs(ctx context.Context, inputs placement.Inputs) placement.Decision {
	var decision placement.Decision
	for range len(inputs.Offers) + 1 {
		decision = o.rounds.planner.Plan(inputs, o.Clock.Now())
		isDone := true
		for _, request := range decision.Starts {
			if isDone = o.start(ctx, request); !isDone {
				break
			}
		}
		if isDone {
			break
		}
	}
	return decision
}

// permit checks the lease for one order. It returns a context that ends with
// the lease at the latest.
func (o *Order) permit(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	number, isHolding := o.Holding()
	if !isHolding || number != o.rounds.number || ctx.Err() != nil {
		o.Count(CounterLapsed, 1)
		return nil, nil, false
	}
	o.mu.Lock()
	left := o.holder.Until().Sub(o.Clock.Now())
	o.mu.Unlock()
	bounded, cancel := o.withTimeout(ctx, min(left, o.options.OrderTimeout))
	return bounded, cancel, true
}

// start asks the cloud for a VM. It returns false when the other starts of
// the round have to be decided anew.
func (o *Order) start(ctx context.Context, request hosting.StartRequest) bool {
	bounded, cancel, isPermitted := o.permit(ctx)
	if !isPermitted {
		return false
	}
	defer cancel()
	o.Count(CounterStarts, 1)
	vm, err := o.cloud.Start(bounded, request)
	now := o.Clock.Now()
	var refused *hosting.RefusedError
	switch {
	case errors.As(err, &refused):
		o.Count(CounterStartsRefused, 1)
		o.rounds.planner.Refused(request, now)
		return false
	case err != nil:
		o.Count(CounterStartsFailed, 1)
		o.rounds.planner.Unanswered(now)
		return false
	}
	o.rounds.planner.Started(request, vm, now)
	o.Events.Record(telemetry.Event{Kind: "VMStarted", Backend: vm.Name, Detail: request.Identity})
	return true
}

// load orders the models of a runner once the weight store can serve it.
func (o *Order) load(ctx context.Context, load placement.Load) {
	if !o.isTransferDue(ctx, load) {
		return
	}
	bounded, cancel, isPermitted := o.permit(ctx)
	if !isPermitted {
		return
	}
	defer cancel()
	o.Count(CounterLoads, 1)
	err := o.engines(load.VM).Order(bounded, hosting.Order{Fencing: o.rounds.number, Models: load.Models})
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
	// A lost answer is settled by the next reports.
	delete(o.rounds.transfers, transferKey(load))
	o.rounds.planner.Ordered(load.VM.Name, o.Clock.Now())
	o.Events.Record(telemetry.Event{Kind: "ModelsOrdered", Backend: load.VM.Name, Detail: strings.Join(load.Models, ",")})
}

// isTransferDue reserves the transfer of the missing models and reports
// whether the weight store serves it now.
func (o *Order) isTransferDue(ctx context.Context, load placement.Load) bool {
	if len(load.Missing) == 0 {
		return true
	}
	key := transferKey(load)
	due, isReserved := o.rounds.transfers[key]
	if !isReserved {
		wait, err := o.reserve(ctx, load.Missing)
		if err != nil {
			o.Count(CounterLoadsFailed, 1)
			return false
		}
		due = o.Clock.Now().Add(wait)
		o.rounds.transfers[key] = due
	}
	return !o.Clock.Now().Before(due)
}

// reserve asks for the transfer of the models. It returns how long to wait
// for it.
func (o *Order) reserve(ctx context.Context, models []string) (time.Duration, error) {
	bounded, cancel, isPermitted := o.permit(ctx)
	if !isPermitted {
		return 0, &LapsedError{Number: o.rounds.number}
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

func transferKey(load placement.Load) string {
	return load.VM.Name + "/" + strings.Join(load.Missing, ",")
}
