package rolloutduty

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/packed"
	"github.com/cranberrywalk/cranberrywalk/rollout"
)

// storedState is a state in the store.
type storedState struct {
	// WrittenAt is the time by the daemons' synchronized clocks, in microseconds since 1970.
	WrittenAt int64
	State     rollout.StateReport
}

// applyStates applies the states that the store holds.
func (d *Duty) applyStates() {
	now := d.Clock.Now()
	for service := range d.states.values {
		if state, found := d.storedState(service); found {
			d.Controller.ApplyState(state, now)
		}
	}
}

// storedState returns the state of a service that the store holds.
func (d *Duty) storedState(service string) (rollout.State, bool) {
	value, found := d.states.values[service]
	if !found {
		return rollout.State{}, false
	}
	var stored storedState
	if err := packed.Unmarshal(value, &stored); err != nil {
		d.Count("Rollouts.StatesUnreadable", 1)
		d.Log.Error(err, "RolloutStateUnreadable", "Service", service)
		return rollout.State{}, false
	}
	now := d.Clock.Now()
	return stored.State.State(now.Add(-d.sinceWritten(stored.WrittenAt, now))), true
}

// advance decides and writes the next state of a service, and then tells the operator. What can't be
// written is tried again in the next step.
func (d *Duty) advance(ctx context.Context, state rollout.State) {
	service := state.Order.Service
	// The status of an earlier order may be the same as the one to come.
	if state.Phase == rollout.Unknown && (!d.mayBegin() || !d.writeStatus(ctx, state)) {
		return
	}
	environment := d.System.Environment(service, state.Order.Target)
	environment.Fence = d.fence
	// A later order may have come since the state was read. The next step is for that one.
	if next, changed := d.Controller.Next(service, environment, d.Clock.Now()); changed && next.Order.IsSame(state.Order) {
		state = next
	}
	if state.Phase == rollout.Unknown {
		return
	}
	if !d.isStored(state) {
		state.Fence = d.fence
		if !d.writeState(ctx, state) {
			return
		}
		d.Controller.ApplyState(state, d.Clock.Now())
	}
	d.writeStatus(ctx, state)
}

// mayBegin reports whether an order of unknown state is new. Others have told a process of that age
// the states that the store may have lost.
func (d *Duty) mayBegin() bool { return d.Clock.Since(d.started) >= d.options.UnknownAfter }

// isStored reports whether the store holds a state. One that is not terminal has to be written by
// this holder, after which no late write of a former one takes effect.
func (d *Duty) isStored(state rollout.State) bool {
	stored, found := d.storedState(state.Order.Service)
	isSame := found && stored.Order.IsSame(state.Order) && stored.Phase == state.Phase
	return isSame && (state.Phase.IsTerminal() || stored.Fence == d.fence)
}

func (d *Duty) writeState(ctx context.Context, state rollout.State) bool {
	now := d.Clock.Now()
	stored := storedState{WrittenAt: d.SyncedClock.At(now).UnixMicro(), State: state.Report(now)}
	value, err := msgpack.Marshal(stored)
	if err != nil {
		d.Log.Error(err, "RolloutStateNotEncoded", "Service", state.Order.Service)
		return false
	}
	if !d.put(ctx, d.states, latest.Record{Key: state.Order.Service, Value: value}) {
		return false
	}
	d.Log.Info("RolloutStateWritten", "Service", state.Order.Service, "Target", state.Order.Target, "Phase", state.Phase.String(),
		"Reason", string(state.Reason), "Fence", state.Fence, "Offset", state.Order.Position.Offset,
		"Milliseconds", now.Sub(state.Order.OrderedAt).Milliseconds())
	return true
}

// writeStatus tells the operator of a state, unless the store holds that.
func (d *Duty) writeStatus(ctx context.Context, state rollout.State) bool {
	order := state.Order
	record, err := d.Statuses.Encode(Status{Service: order.Service, Target: order.Target, Phase: state.Phase})
	if err != nil {
		d.Log.Error(err, "RolloutStatusNotEncoded", "Service", order.Service)
		return false
	}
	if d.statuses.holds(record) {
		return true
	}
	if !d.put(ctx, d.statuses, record) {
		return false
	}
	d.Log.Info("RolloutStatusWritten", "Service", order.Service, "Target", order.Target, "Phase", state.Phase.String(),
		"Reason", string(state.Reason), "Fence", state.Fence)
	return true
}
