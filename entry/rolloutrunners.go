package entry

import "github.com/cranberrywalk/cranberrywalk/inventory"

// runnerCounts counts the runners of a service for an order.
type runnerCounts struct {
	// readyTarget counts those of the target that are ready, and readyOld those of other versions.
	readyTarget, readyOld int
	// old counts those of other versions in any state: leaving ones may have streams.
	old int
}

// countRunners counts the runners of a service for an order with a target.
func countRunners(runners []inventory.Runner, service, target string) runnerCounts {
	var counts runnerCounts
	for _, runner := range runners {
		isReady := runner.State == inventory.Ready
		switch {
		case runner.Service != service:
		case runner.Version != target:
			counts.old++
			if isReady {
				counts.readyOld++
			}
		case isReady:
			counts.readyTarget++
		}
	}
	return counts
}

// updateOldRunners tells the controller how many runners of the old versions get requests, which the
// turns of a trial depend on.
func (t *rolloutTracker) updateOldRunners() {
	for _, state := range t.controller.Newest() {
		if !state.Phase.IsTerminal() {
			order := state.Order
			t.controller.SetOldRunners(order.Service, countRunners(t.runners.list(), order.Service, order.Target).readyOld)
		}
	}
}
