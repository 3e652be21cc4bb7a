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
}

func newScaler(e *Entry, options scaling.Options) *scaler {
	return &scaler{Entry: e, options: options, planner: scaling.New(options)}
}

// firstOrderDelay is the time after the start of the process at which the first
// reclaimable runners are ordered, based on the records written by then.
const firstOrderDelay = 1200 * time.Millisecond

// Due implements duties.Scaler.
func (s *scaler) Due(now time.Time) []dutylease.ScaleOrder {
	current := s.gateway.Catalog()
	if current == nil || !s.runners.isLoaded() || now.Sub(s.demand.processStart) < firstOrderDelay {
		return nil
	}
	runners := s.runners.list()
	isIdle, isStarting := s.demand.state(now)
	var due []dutylease.ScaleOrder
	for _, service := range current.Services() {
		if service.Scaling == nil {
			continue
		}
		zones := countZones(service, runners)
		due = append(due, s.planner.Plan(scaling.Inputs{
			Service: service, Zones: zones, Runners: s.demand.runnersNeeded(service, zones, now), Lost: s.demand.runnersLost(service.Name),
			KeepOnDemand: isStarting, IsIdle: isIdle, Shares: s.demand.zoneShares(service.Name),
		}, now)...)
	}
	return due
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
func (s *scaler) Reset() { s.planner = scaling.New(s.options) }

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
