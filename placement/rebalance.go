package placement

import (
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/plan"
)

// rebalance gives one runner to the model that is shortest of them, if there
// is a runner that can be spared.
func (p *Planner) rebalance(runners []hosting.VM, inputs Inputs, now time.Time) {
	supply := p.supply(runners)
	receiver, found := p.neediest(supply, inputs.Demands)
	if !found {
		return
	}
	donor, found := p.spare(runners, supply, receiver, inputs, now)
	if !found {
		return
	}
	p.targets[donor] = target{models: []string{receiver}, changed: now}
}

// supply returns how many runners each model has. A runner with several
// models counts for each of them with its share.
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

// neediest returns the model with the highest use above HighUse. A model
// without a runner comes before all others.
func (p *Planner) neediest(supply map[string]float64, demands []Demand) (string, bool) {
	neediest, highest := "", p.options.HighUse
	for _, demand := range demands {
		if demand.Rate <= 0 {
			continue
		}
		if supply[demand.Model] == 0 {
			return demand.Model, true
		}
		if use := p.use(demand.Rate, supply[demand.Model]); use > highest {
			neediest, highest = demand.Model, use
		}
	}
	return neediest, neediest != ""
}

// use returns the share of the runners' rate that a load takes.
func (p *Planner) use(rate, runners float64) float64 {
	return rate / (runners * p.options.RunnerRate)
}

// spare returns the runner that is easiest to do without: an idle one, or
// one whose models stay at or below LowUse.
func (p *Planner) spare(runners []hosting.VM, supply map[string]float64, receiver string, inputs Inputs, now time.Time) (string, bool) {
	limit := p.options.LowUse
	if supply[receiver] == 0 {
		limit = p.options.HighUse
	}
	best, lowest := "", limit
	for _, vm := range runners {
		wanted := p.targets[vm.Name]
		isHeld := !wanted.changed.IsZero() && now.Before(wanted.changed.Add(p.options.HoldTime))
		if isHeld || slices.Contains(wanted.models, receiver) || !mayServe(inputs.Allowances, receiver, vm.Zone, vm.Class) {
			continue
		}
		use, canSpare := p.useWithout(wanted.models, supply, inputs)
		if canSpare && (use < lowest || (best == "" && use == lowest)) {
			best, lowest = vm.Name, use
		}
	}
	return best, best != ""
}

// useWithout returns the highest use of the models if one runner that has
// them is taken away. It returns false when the load of a model is not known
// or when a model that is needed would be left without a whole runner.
func (p *Planner) useWithout(models []string, supply map[string]float64, inputs Inputs) (float64, bool) {
	highest := 0.0
	for _, model := range models {
		left := supply[model] - 1/float64(len(models))
		rate, isKnown := rateOf(inputs.Demands, model)
		isNeeded := rate > 0 || isCallable(inputs.Allowances, model)
		if !isKnown || (left < 1 && isNeeded) {
			return 0, false
		}
		if rate > 0 {
			highest = max(highest, p.use(rate, left))
		}
	}
	return highest, true
}

// rateOf returns the load of a model, and false when it is not known.
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

// mayServe reports whether a plan may call the model on such a VM.
func mayServe(allowances []plan.Allowance, model, zone, class string) bool {
	return slices.ContainsFunc(allowances, func(a plan.Allowance) bool {
		return a.PermitModel(model) == nil && a.AllowsVM(zone, class)
	})
}
