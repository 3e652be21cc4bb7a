package rolloutduty

import (
	"math"

	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/rollout"
)

// loggedPhase is what was last logged of the order of a service.
type loggedPhase struct {
	position  latest.Position
	phase     rollout.Phase
	isStopped bool
}

// logEvents logs the decisions of this daemon and those that it has learned, with its figures. Each
// is logged once, also if another holder confirms it.
func (d *Duty) logEvents() {
	for _, event := range d.Controller.Events() {
		order := event.State.Order
		next := loggedPhase{position: order.Position, phase: event.State.Phase, isStopped: event.Stopped}
		if d.logged[order.Service] != next {
			d.logged[order.Service] = next
			d.logEvent(event)
		}
	}
}

func (d *Duty) logEvent(event rollout.Event) {
	name, state, result := "RolloutPhaseEntered", event.State, event.Result
	if event.Stopped {
		name = "RolloutStopped"
	}
	d.Count("Rollouts."+state.Phase.String(), 1)
	d.Log.Info(name, "Service", state.Order.Service, "Target", state.Order.Target, "Phase", state.Phase.String(),
		"Reason", string(state.Reason), "Fence", state.Fence, "Offset", state.Order.Position.Offset,
		"Milliseconds", d.Clock.Since(state.Order.OrderedAt).Milliseconds(),
		"Verdict", result.Verdict.String(), "Test", string(result.Test), "Rule", string(result.Rule), "Route", result.Route,
		"AllRoutes", result.AllRoutes, "OnlyLoaded", result.OnlyLoaded, "Evidence", finite(result.Evidence),
		"TargetResponses", result.Target.Responses, "TargetWorse", result.Target.Worse,
		"OldResponses", result.Old.Responses, "OldWorse", result.Old.Worse)
}

// finite replaces numbers that JSON can't represent.
func finite(number float64) float64 {
	if math.IsInf(number, 0) || math.IsNaN(number) {
		return 0
	}
	return number
}
