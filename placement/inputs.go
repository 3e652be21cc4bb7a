package placement

import (
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/plan"
)

// Options shape the decisions.
type Options struct {
	// RunnerRate is the load of one model that fills a runner, in the unit
	// of Demand.
	RunnerRate float64
	// HighUse is the share of the runners' rate above which a model gets
	// another runner.
	HighUse float64
	// LowUse is the share of the remaining runners' rate up to which a model
	// may lose a runner. The gap to HighUse is the hysteresis.
	LowUse float64
	// HoldTime is how long a runner keeps its models after a change.
	HoldTime time.Duration
	// RepeatAfter is how long a runner may take to report the models that it
	// was ordered to load, and a started VM to be listed.
	RepeatAfter time.Duration
	// BackoffMin and BackoffMax bound the time in which an offer is not
	// tried again after a refusal. It doubles from refusal to refusal.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// MaxRunners bounds the runners that the demand for one model leads to.
	MaxRunners int
}

// DefaultOptions returns the defaults, for demand in prompt tokens a second.
func DefaultOptions() Options {
	return Options{
		RunnerRate: 20000, HighUse: 0.8, LowUse: 0.5,
		HoldTime: 5 * time.Minute, RepeatAfter: time.Minute,
		BackoffMin: 5 * time.Second, BackoffMax: 5 * time.Minute, MaxRunners: 64,
	}
}

// Demand is the load of one model over all daemons of the region.
type Demand struct {
	Model string
	// Rate is the load of now, for example in prompt tokens a second.
	Rate float64
	// Peak is the highest load that the runners are to be ready for. The
	// number of runners follows it when it is above Rate.
	Peak float64
}

// Offer is a kind of VM that the cloud sells.
type Offer struct {
	Zone        string
	Class       string
	Reclaimable bool
	// Price is the cost of one hour.
	Price float64
}

// Inputs are what a decision is made from. They are not changed.
type Inputs struct {
	// VMs are the listed backend servers of the region. Leaving ones are
	// marked, also those that only a notice has announced.
	VMs []hosting.VM
	// Reports are the last load reports, by VM. A runner without one gets no
	// orders.
	Reports map[string]hosting.LoadReport
	// Demands has at most one entry for a model. For a model without an
	// entry the number of runners is kept.
	Demands []Demand
	// Allowances are those in force.
	Allowances []plan.Allowance
	// Offers are what may be started.
	Offers []Offer
}

// WithReports returns the inputs with other load reports.
func (i Inputs) WithReports(reports map[string]hosting.LoadReport) Inputs {
	i.Reports = reports
	return i
}

// OffersOf returns the kinds of the VMs, each with its lowest price.
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

// Load is an order to a runner.
type Load struct {
	VM hosting.VM
	// Models are all models that are wanted, in order of their names.
	Models []string
	// Missing are those of Models that the runner has to fetch.
	Missing []string
}

// Decision is what is to be ordered now.
type Decision struct {
	Loads  []Load
	Starts []hosting.StartRequest
}
