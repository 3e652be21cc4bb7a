package placement

import (
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/plan"
)

// Options configures the decisions.
type Options struct {
	// RunnerCapacity is the load that fully utilizes a runner, in the unit of
	// Demand.
	RunnerCapacity float64
	// HighUtilization is the utilization of a model's runners above which the
	// model gets another runner.
	HighUtilization float64
	// LowUtilization is the utilization of the remaining runners up to which a
	// model may lose a runner. The gap to HighUtilization is the hysteresis.
	LowUtilization float64
	// Cooldown is how long a runner keeps its models after a change.
	Cooldown time.Duration
	// OrderTimeout is how long a runner may take to report the models that it
	// was ordered to load, and a started VM to be listed.
	OrderTimeout time.Duration
	// BackoffMin and BackoffMax bound how long an offer is not tried again after
	// a refusal. The time doubles with every refusal.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// MaxRunners bounds the number of runners for the demand of one model.
	MaxRunners int
}

// DefaultOptions returns the defaults, for demand in prompt tokens per second.
func DefaultOptions() Options {
	return Options{
		RunnerCapacity: 20000, HighUtilization: 0.8, LowUtilization: 0.5,
		Cooldown: 5 * time.Minute, OrderTimeout: time.Minute,
		BackoffMin: 5 * time.Second, BackoffMax: 5 * time.Minute, MaxRunners: 64,
	}
}

// Demand is the load of one model over all daemons of the region.
type Demand struct {
	Model string
	// Rate is the current load, for example in prompt tokens per second.
	Rate float64
	// Peak is the highest load that the runners must be able to serve. The
	// number of runners follows Peak when it is above Rate.
	Peak float64
}

// Offer is a kind of VM that the cloud offers.
type Offer struct {
	Zone        string
	Class       string
	Reclaimable bool
	// Price is the cost per hour.
	Price float64
}

// Inputs holds what a decision is based on. It is not modified.
type Inputs struct {
	// VMs are the listed backend servers of the region. Those that are leaving
	// are marked, including those known only from a notice.
	VMs []hosting.VM
	// Reports holds the last load reports by VM name. A runner without a report
	// gets no orders.
	Reports map[string]hosting.LoadReport
	// Demands has at most one entry per model. A model without an entry keeps
	// its number of runners.
	Demands []Demand
	// Allowances are the allowances in force.
	Allowances []plan.Allowance
	// Offers are the kinds of VMs that may be started.
	Offers []Offer
}

// WithReports returns a copy of the inputs with other load reports.
func (i Inputs) WithReports(reports map[string]hosting.LoadReport) Inputs {
	i.Reports = reports
	return i
}

// OffersOf returns the distinct kinds of the VMs, each with its lowest price.
func OffersOf(vms []hosting.VM) []Offer {
	var offers []Offer
	for _, vm := range vms {
		offer := Offer{Zone: vm.Zone, Class: vm.Class, Reclaimable: vm.Reclaimable, Price: vm.Price}
		at := slices.IndexFunc(offers, func(other Offer) bool { return other.kind() == offer.kind() })
		if at < 0 {
			offers = append(offers, offer)
			continue
		}
		offers[at].Price = min(offers[at].Price, offer.Price)
	}
	return offers
}

// kind returns the offer without its price.
func (o Offer) kind() Offer {
	o.Price = 0
	return o
}

// LoadOrder is an order to a runner to have exactly these models loaded.
type LoadOrder struct {
	VM hosting.VM
	// Models are all desired models, sorted by name.
	Models []string
	// Missing are those of Models that the runner has to fetch.
	Missing []string
}

// Decision holds the orders to send now.
type Decision struct {
	Loads  []LoadOrder
	Starts []hosting.StartRequest
}
