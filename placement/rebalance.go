package placement

import (
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/plan"
)

// rebalance moves one runner to the model that needs it most, if there is a runner
// to spare.
func (p *Planner) rebalance(runners []hosting.VM, inputs Inputs, now time.Time) {
	supply := p.supply(runners)
	receiver, found := p.findReceiver(supply, inputs.Demands)
	if !found {
		return
	}
	donor, found := p.findDonor(runners, supply, receiver, inputs, now)
	if !found {
		return
	}
	p.targets[donor] = target{models: []string{receiver}, changed: now}
}

// supply returns how many runners each model has. A runner with several models
// counts as an equal fraction for each of them.
func (p *Planner) supply(runners []hosting.VM) map[string]float64 {
	supply := make(map[string]float64)
	for _, vm := range runners {
		models := p.targets[vm.Name].models
		for _, model := range models {
			supply[model] += 1 / float64(len(models))
		}
	}
	return supply
}

// findReceiver returns the model with the highest utilization above HighUtilization.
// A model with load but no runner comes before all others.
func (p *Planner) findReceiver(supply map[string]float64, demands []Demand) (string, bool) {
	receiver, highest := "", p.options.HighUtilization
	for _, demand := range demands {
		if demand.Rate <= 0 {
			continue
		}
		if supply[demand.Model] == 0 {
			return demand.Model, true
		}
		if utilization := p.utilization(demand.Rate, supply[demand.Model]); utilization > highest {
			receiver, highest = demand.Model, utilization
		}
	}
	return receiver, receiver != ""
}

// utilization returns the fraction of the runners' capacity that a load takes.
func (p *Planner) utilization(rate, runners float64) float64 {
	return rate / (runners * p.options.RunnerCapacity)
}

// findDonor returns the runner whose removal leaves its models with the lowest
// utilization: an idle one, or one whose models stay at or below LowUtilization. The
// bound is HighUtilization if the receiver has no runner yet.
func (p *Planner) findDonor(runners []hosting.VM, supply map[string]float64, receiver string, inputs Inputs, now time.Time) (string, bool) {
	limit := p.options.LowUtilization
	if supply[receiver] == 0 {
		limit = p.options.HighUtilization
	}
	best, lowest := "", limit
	for _, vm := range runners {
		wanted := p.targets[vm.Name]
		inCooldown := !wanted.changed.IsZero() && now.Before(wanted.changed.Add(p.options.Cooldown))
		if inCooldown || slices.Contains(wanted.models, receiver) || !mayServe(inputs.Allowances, receiver, vm.Zone, vm.Class) {
			continue
		}
		utilization, canSpare := p.utilizationWithout(wanted.models, supply, inputs)
		if canSpare && (utilization < lowest || (best == "" && utilization == lowest)) {
			best, lowest = vm.Name, utilization
		}
	}
	return best, best != ""
}

// utilizationWithout returns the highest utilization among the models after the
// removal of one runner that has all of them. It returns false if the load of a
// model is not known, or if a model that is needed would be left with less than one
// runner.
func (p *Planner) utilizationWithout(models []string, supply map[string]float64, inputs Inputs) (float64, bool) {
	highest := 0.0
	for _, model := range models {
		left := supply[model] - 1/float64(len(models))
		rate, isKnown := rateOf(inputs.Demands, model)
		isNeeded := rate > 0 || isCallable(inputs.Allowances, model)
		if !isKnown || (left < 1 && isNeeded) {
			return 0, false
		}
		if rate > 0 {
			highest = max(highest, p.utilization(rate, left))
		}
	}
	return highest, true
}

// rateOf returns the load of a model, and false if it is not known.
func rateOf(demands []Demand, model string) (float64, bool) {
	at := slices.IndexFunc(demands, func(demand Demand) bool { return demand.Model == model })
	if at < 0 {
		return 0, false
	}
	return demands[at].Rate, true
}

func isCallable(allowances []plan.Allowance, model string) bool {
	return slices.ContainsFunc(allowances, func(a plan.Allowance) bool {
		return a.PermitModel(model) == nil
	})
}

// mayServe reports whether some plan may call the model on a VM of the class in the
// zone.
func mayServe(allowances []plan.Allowance, model, zone, class string) bool {
	return slices.ContainsFunc(allowances, func(a plan.Allowance) bool {
		return a.PermitModel(model) == nil && a.AllowsVM(zone, class)
	})
}
