package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// target is the desired state of a runner.
type target struct {
	// models is sorted by name.
	models []string
	// changed is when the planner last changed models; zero if they were adopted
	// from the runner's report.
	changed time.Time
	// ordered is when the last order was sent, or zero.
	ordered time.Time
}

// Planner makes the decisions of one holder of the duty. It is not safe for
// concurrent use. A new planner adopts the models that the runners report.
type Planner struct {
	options Options
	// targets holds the runners that have reported and are not leaving.
	targets map[string]target
	// loading is the runner that is fetching weights, or empty. Only one runner
	// fetches at a time.
	loading string
	fleet   fleet
}

// New returns a planner without targets.
func New(options Options) *Planner {
	return &Planner{options: options, targets: make(map[string]target), fleet: newFleet(options)}
}

// Plan returns the orders to send now. The caller reports their results with
// Ordered, Started, Refused and Unanswered before it calls Plan again.
func (p *Planner) Plan(inputs Inputs, now time.Time) Decision {
	runners := usableRunners(inputs)
	p.adopt(runners, inputs)
	p.endLoading(runners, inputs, now)
	if p.loading == "" && !p.isAnyMissing(runners, inputs) {
		p.rebalance(runners, inputs, now)
	}
	return Decision{Loads: p.loads(runners, inputs, now), Starts: p.fleet.starts(inputs, p.targets, now)}
}

// Ordered records that the order to a runner was sent, or may have been sent.
func (p *Planner) Ordered(vm string, now time.Time) {
	wanted, found := p.targets[vm]
	if !found {
		return
	}
	wanted.ordered = now
	p.targets[vm] = wanted
}

// usableRunners returns the runners that can take orders, sorted by name.
func usableRunners(inputs Inputs) []hosting.VM {
	var runners []hosting.VM
	for _, vm := range inputs.VMs {
		_, hasReport := inputs.Reports[vm.Name]
		if vm.Role == hosting.RoleRunner && !vm.Leaving && hasReport {
			runners = append(runners, vm)
		}
	}
	slices.SortFunc(runners, func(a, b hosting.VM) int { return cmp.Compare(a.Name, b.Name) })
	return runners
}

// adopt sets the targets of runners that are new to the planner to the models that
// they report, and drops the targets of runners that have left. A known runner
// whose report is missing keeps its target.
func (p *Planner) adopt(runners []hosting.VM, inputs Inputs) {
	for _, vm := range runners {
		if _, known := p.targets[vm.Name]; known {
			continue
		}
		models := inputs.Reports[vm.Name].Models
		if len(models) == 0 {
			models = vm.Models
		}
		p.targets[vm.Name] = target{models: sorted(models)}
	}
	for name := range p.targets {
		isListed := slices.ContainsFunc(inputs.VMs, func(vm hosting.VM) bool {
			return vm.Name == name && !vm.Leaving
		})
		if !isListed {
			delete(p.targets, name)
		}
	}
}

// endLoading lets another runner fetch weights when the current one has finished,
// is not usable or takes too long.
func (p *Planner) endLoading(runners []hosting.VM, inputs Inputs, now time.Time) {
	wanted := p.targets[p.loading]
	isUsable := slices.ContainsFunc(runners, func(vm hosting.VM) bool { return vm.Name == p.loading })
	isLate := !wanted.ordered.IsZero() && !now.Before(wanted.ordered.Add(p.options.OrderTimeout))
	if !isUsable || isLate || len(p.missing(p.loading, inputs)) == 0 {
		p.loading = ""
	}
}

func (p *Planner) isAnyMissing(runners []hosting.VM, inputs Inputs) bool {
	return slices.ContainsFunc(runners, func(vm hosting.VM) bool {
		return len(p.missing(vm.Name, inputs)) > 0
	})
}

// missing returns the desired models that a runner does not report.
func (p *Planner) missing(vm string, inputs Inputs) []string {
	var missing []string
	for _, model := range p.targets[vm].models {
		if !slices.Contains(inputs.Reports[vm].Models, model) {
			missing = append(missing, model)
		}
	}
	return missing
}

// loads returns the orders to runners whose reported models differ from the desired
// ones. The runner with the oldest order comes first, so that one that never loads
// its models does not block the others.
func (p *Planner) loads(runners []hosting.VM, inputs Inputs, now time.Time) []LoadOrder {
	byLastOrder := slices.Clone(runners)
	slices.SortStableFunc(byLastOrder, func(a, b hosting.VM) int {
		return p.targets[a.Name].ordered.Compare(p.targets[b.Name].ordered)
	})
	var loads []LoadOrder
	for _, vm := range byLastOrder {
		wanted := p.targets[vm.Name]
		if slices.Equal(wanted.models, sorted(inputs.Reports[vm.Name].Models)) {
			continue
		}
		missing := p.missing(vm.Name, inputs)
		if len(missing) > 0 && p.loading == "" {
			p.loading = vm.Name
		}
		isDue := wanted.ordered.IsZero() || !now.Before(wanted.ordered.Add(p.options.OrderTimeout))
		if isDue && (len(missing) == 0 || p.loading == vm.Name) {
			loads = append(loads, LoadOrder{VM: vm, Models: wanted.models, Missing: missing})
		}
	}
	return loads
}

func sorted(models []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(models)))
}
