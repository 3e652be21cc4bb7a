package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// planOnDemand makes up for missing reclaimable runners with on-demand ones, which
// are released ScaleDownDelay after they are no longer needed.
func (p *Planner) planOnDemand(inputs Inputs, reclaimable map[string]int, now time.Time) map[string]int {
	ready, largest, provisioned := 0, 0, 0
	isScarce := false
	for _, zone := range inputs.Zones {
		ready += p.countedReclaimable(inputs, zone)
		largest = max(largest, p.countedReclaimable(inputs, zone))
		provisioned += p.provisioned(inputs, zone)
		isScarce = isScarce || p.isBlocked(inputs.Service.Name, zone.Name, now)
	}
	missing := max(inputs.Runners+inputs.replacements()-ready, 0)
	if isScarce {
		// The largest zone may be reclaimed, and its runners could not be
		// replaced by reclaimable ones.
		reserve := int(math.Ceil(float64(inputs.Runners) * p.options.Reserve))
		missing = max(missing, reserve-(ready-largest))
	}
	service := inputs.Service.Name
	switch {
	case missing >= provisioned:
		delete(p.surplusSince, service)
	case p.surplusSince[service].IsZero():
		p.surplusSince[service] = now
	}
	if missing < provisioned && now.Sub(p.surplusSince[service]) < p.options.ScaleDownDelay {
		missing = provisioned
	}
	return p.spreadOnDemand(inputs, reclaimable, missing)
}

// provisioned returns the number of on-demand runners of a zone that are ready or
// booting.
func (p *Planner) provisioned(inputs Inputs, zone Zone) int {
	last, known := p.ordered[orderKey{service: inputs.Service.Name, zone: zone.Name}]
	if !known {
		return zone.OnDemand
	}
	return last.count
}

// countedReclaimable returns the number of reclaimable runners of a zone that on-demand
// runners need not replace.
func (p *Planner) countedReclaimable(inputs Inputs, zone Zone) int {
	if !inputs.IsIdle {
		return zone.Reclaimable
	}
	ordered := p.ordered[orderKey{service: inputs.Service.Name, zone: zone.Name, reclaimable: true}]
	return max(zone.Reclaimable, ordered.count)
}

// spreadOnDemand divides the on-demand runners over the zones: those that are ready
// or booting stay, and more are added where the demand exceeds the runners, and where they are cheapest.
func (p *Planner) spreadOnDemand(inputs Inputs, reclaimable map[string]int, wanted int) map[string]int {
	limits := inputs.Service.Scaling
	zones := slices.Clone(inputs.Zones)
	slices.SortStableFunc(zones, func(x, y Zone) int {
		return cmp.Or(cmp.Compare(limits.ZonePrices[x.Name], limits.ZonePrices[y.Name]), cmp.Compare(x.Name, y.Name))
	})
	counts := make(map[string]int, len(zones))
	for _, zone := range zones {
		counts[zone.Name] = max(limits.Min-p.countedReclaimable(inputs, zone), 0)
		wanted -= counts[zone.Name]
	}
	place := func(zones []Zone, limit func(Zone) int) {
		for progress := true; progress && wanted > 0; {
			progress = false
			for _, zone := range zones {
				if wanted > 0 && counts[zone.Name] < limit(zone) {
					counts[zone.Name]++
					wanted--
					progress = true
				}
			}
		}
	}
	most := func(zone Zone) int { return limits.Max - max(reclaimable[zone.Name], zone.Reclaimable) }
	present := func(zone Zone) int { return p.countedReclaimable(inputs, zone) }
	place(zones, func(zone Zone) int { return min(p.provisioned(inputs, zone), limits.Max-zone.Reclaimable) })
	place(affordableZonesInDeficit(inputs, zones, present), func(zone Zone) int {
		return min(int(math.Ceil(inputs.demandOf(zone.Name)))-present(zone), most(zone))
	})
	place(zones, most)
	return counts
}
