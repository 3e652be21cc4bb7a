package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/dutylease"
	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/scaling"
)

// scaler plans the number of runners of all services. It implements duties.Scaler.
type scaler struct {
	*Entry
	options scaling.Options
	planner *scaling.Planner
	// demands tracks the load of each service since the daemon took over the duty.
	demands map[string]*scaling.DemandTracker
	// processStart is when the process started.
	processStart time.Time
}

func newScaler(e *Entry, options scaling.Options) *scaler {
	s := &scaler{Entry: e, options: options, processStart: e.Clock.Now()}
	s.Reset()
	return s
}

// Due implements duties.Scaler.
func (s *scaler) Due(now time.Time) []dutylease.ScaleOrder {
	current := s.gateway.Catalog()
	if current == nil || !s.runners.isLoaded() || now.Sub(s.processStart) < firstOrderDelay {
		return nil
	}
	runners := s.runners.list()
	var due []dutylease.ScaleOrder
	for _, service := range current.Services() {
		if service.Scaling == nil {
			continue
		}
		zones := countZones(service, runners)
		isStarting := now.Sub(s.processStart) < fleetReportDelay
		if isStarting {
			delete(s.demands, service.Name)
		}
		due = append(due, s.planner.Plan(scaling.Inputs{
			Service: service, Zones: zones, Runners: s.runnersNeeded(service, zones, now), KeepOnDemand: isStarting,
		}, now)...)
	}
	return due
}

// fleetReportDelay is the time after the start of the process by which all runners
// have written their records.
const fleetReportDelay = 4500 * time.Millisecond

// firstOrderDelay is the time after the start of the process at which the first
// reclaimable runners are ordered, based on the records written by then.
const firstOrderDelay = 1200 * time.Millisecond

// runnersNeeded returns the number of runners for the current load.
func (s *scaler) runnersNeeded(service catalog.Service, zones []scaling.Zone, now time.Time) int {
	ready, onDemand := 0, 0
	for _, zone := range zones {
		ready += zone.Reclaimable + zone.OnDemand
		onDemand += zone.OnDemand
	}
	demand := s.demands[service.Name]
	if demand == nil {
		demand = scaling.NewDemandTracker(scaling.DefaultDemandOptions(), max(onDemand, ready-onDemand), now)
		s.demands[service.Name] = demand
	}
	return demand.Runners(s.balancer.Load(service.Name, now).Requests, ready, now)
}

// Accepted implements duties.Scaler.
func (s *scaler) Accepted(order dutylease.ScaleOrder, now time.Time) {
	s.planner.Accepted(order, now)
}

// Refused implements duties.Scaler.
func (s *scaler) Refused(order dutylease.ScaleOrder, now time.Time) {
	s.planner.Refused(order, now)
}

// Reset implements duties.Scaler.
func (s *scaler) Reset() {
	s.planner = scaling.New(s.options)
	s.demands = make(map[string]*scaling.DemandTracker)
}

// countZones counts the runners of a service in every zone in which it may run.
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
			zone.OnDemand++
		}
		zones[runner.Zone] = zone
	}
	var counted []scaling.Zone
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		counted = append(counted, zones[name])
	}
	return counted
}
