package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/duty"
	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/scaling"
)

// orders plans the runners of all services. It implements duties.Orders.
type orders struct {
	*Entry
	options scaling.Options
	planner *scaling.Planner
	// demands holds the load of each service since the duty was taken over.
	demands map[string]*scaling.Demand
	// began is when the process began.
	began time.Time
}

func newOrders(e *Entry, options scaling.Options) *orders {
	o := &orders{Entry: e, options: options, began: e.Clock.Now()}
	o.Reset()
	return o
}

// Due implements duties.Orders.
func (o *orders) Due(now time.Time) []duty.Order {
	known := o.gateway.Catalog()
	if known == nil || !o.fleet.known() || now.Sub(o.began) < firstTime {
		return nil
	}
	runners := o.fleet.runners()
	var due []duty.Order
	for _, service := range known.Services() {
		if service.Scaling == nil {
			continue
		}
		zones := countZones(service, runners)
		isNew := now.Sub(o.began) < fleetTime
		if isNew {
			delete(o.demands, service.Name)
		}
		due = append(due, o.planner.Plan(scaling.Need{
			Service: service, Zones: zones, Runners: o.needed(service, zones, now), KeepLasting: isNew,
		}, now)...)
	}
	return due
}

// fleetTime is how long after the start of the process all runners have written
// of themselves.
const fleetTime = 4500 * time.Millisecond

// firstTime is how long after the start of the process the first reclaimable
// runners are ordered, for those that have written by then.
const firstTime = 1200 * time.Millisecond

// needed returns the number of runners for the present load.
func (o *orders) needed(service catalog.Service, zones []scaling.Zone, now time.Time) int {
	ready, lasting := 0, 0
	for _, zone := range zones {
		ready += zone.Reclaimable + zone.Lasting
		lasting += zone.Lasting
	}
	demand := o.demands[service.Name]
	if demand == nil {
		demand = scaling.NewDemand(scaling.DefaultDemandOptions(), max(lasting, ready-lasting), now)
		o.demands[service.Name] = demand
	}
	return demand.Runners(o.balancer.Load(service.Name, now).Requests, ready, now)
}

// Done implements duties.Orders.
func (o *orders) Done(order duty.Order, now time.Time) { o.planner.Done(order, now) }

// Refused implements duties.Orders.
func (o *orders) Refused(order duty.Order, now time.Time) { o.planner.Refused(order, now) }

// Reset implements duties.Orders.
func (o *orders) Reset() {
	o.planner = scaling.New(o.options)
	o.demands = make(map[string]*scaling.Demand)
}

// countZones counts the runners of a service in every zone where it may run.
func countZones(service catalog.Service, runners []inventory.Runner) []scaling.Zone {
	zones := make(map[string]scaling.Zone)
	for name := range service.Scaling.ZonePrices {
		zones[name] = scaling.Zone{Name: name}
	}
	for _, runner := range runners {
		zone, listed := zones[runner.Zone]
		if runner.Service != service.Name || !listed {
			continue
		}
		switch {
		case runner.State == inventory.Leaving && runner.Reclaimable:
			zone.Leaving++
		case runner.State == inventory.Leaving:
		case runner.Reclaimable:
			zone.Reclaimable++
		default:
			zone.Lasting++
		}
		zones[runner.Zone] = zone
	}
	var counted []scaling.Zone
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		counted = append(counted, zones[name])
	}
	return counted
}
