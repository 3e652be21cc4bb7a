package scaling

import (
	"cmp"
	"math"
	"slices"
)

// demandOf returns the number of runners that the demand of a zone needs, or zero while the demand is even.
func (i Inputs) demandOf(zone string) float64 { return float64(i.Runners) * i.Shares[zone] }

// shiftToDemand moves reclaimable runners from open zones with more than their demand needs to those with less. The
// total remains, and what is left after the loss of zones suffices as before.
func (p *Planner) shiftToDemand(inputs Inputs, open []Zone, counts map[string]int) {
	if inputs.Shares == nil {
		return
	}
	required := min(p.leftAfterLosses(counts), p.sufficient(inputs))
	for range inputs.Runners {
		if !slices.ContainsFunc(p.zonesInDeficit(inputs, open, counts), func(to Zone) bool {
			return p.moveOne(inputs, open, counts, to, required)
		}) {
			return
		}
	}
}

// moveOne moves a runner to a zone, and returns false if no zone may have one less or too few would be left after
// the loss of zones.
func (p *Planner) moveOne(inputs Inputs, open []Zone, counts map[string]int, to Zone, required int) bool {
	from, found := p.largestSurplus(inputs, open, counts, to)
	if !found {
		return false
	}
	counts[to.Name]++
	counts[from.Name]--
	if p.leftAfterLosses(counts) >= required {
		return true
	}
	counts[to.Name]--
	counts[from.Name]++
	return false
}

// headroomAtUnevenDemand is the part of the headroom that is left when runners are divided by the demand.
const headroomAtUnevenDemand = 0.5

// sufficient returns the number of runners that suffices after the loss of zones.
func (p *Planner) sufficient(inputs Inputs) int {
	factor := 1 + headroomAtUnevenDemand*p.options.Headroom
	return int(math.Ceil(factor*float64(inputs.Runners))) + inputs.replacements()
}

// leftAfterLosses returns the number of runners that are left after the loss of the largest zones.
func (p *Planner) leftAfterLosses(counts map[string]int) int {
	sizes := make([]int, 0, len(counts))
	for _, count := range counts {
		sizes = append(sizes, count)
	}
	slices.Sort(sizes)
	left := 0
	for _, size := range sizes[:max(len(sizes)-p.options.ZoneLosses, 0)] {
		left += size
	}
	return left
}

// deficit returns by how much the demand of a zone exceeds the runners that are present.
func (i Inputs) deficit(zone Zone, present func(Zone) int) float64 {
	return i.demandOf(zone.Name) - float64(present(zone))
}

// sortByDeficit sorts zones by descending deficit.
func (i Inputs) sortByDeficit(zones []Zone, present func(Zone) int) {
	slices.SortStableFunc(zones, func(x, y Zone) int { return cmp.Compare(i.deficit(y, present), i.deficit(x, present)) })
}

// zonesInDeficit returns the zones that may have another runner and whose deficit is at least a whole one, by
// descending deficit.
func (p *Planner) zonesInDeficit(inputs Inputs, open []Zone, counts map[string]int) []Zone {
	present := func(zone Zone) int { return counts[zone.Name] + p.provisioned(inputs, zone) }
	var zones []Zone
	for _, zone := range open {
		if inputs.deficit(zone, present) >= 1 && present(zone) < inputs.Service.Scaling.Max {
			zones = append(zones, zone)
		}
	}
	inputs.sortByDeficit(zones, present)
	return zones
}

// maxPriceRatio bounds the price of a zone that gets runners for its demand relative to the other zone. Requests
// that cross zones cost too, but the platform does not tell what.
const maxPriceRatio = 1.5

// isAffordable reports whether a zone may have runners in place of another for its demand.
func (i Inputs) isAffordable(zone, other string) bool {
	prices := i.Service.Scaling.ZonePrices
	return prices[zone] <= maxPriceRatio*prices[other]
}

// largestSurplus returns the zone with the most runners beyond its demand that may have one less.
func (p *Planner) largestSurplus(inputs Inputs, open []Zone, counts map[string]int, to Zone) (best Zone, found bool) {
	most := 0.0
	for _, zone := range open {
		spare := float64(counts[zone.Name]) - inputs.demandOf(zone.Name)
		keepsMin := counts[zone.Name]+p.provisioned(inputs, zone) > inputs.Service.Scaling.Min
		if zone.Name != to.Name && spare >= 1 && spare > most && keepsMin && inputs.isAffordable(to.Name, zone.Name) {
			best, most, found = zone, spare, true
		}
	}
	return best, found
}

// affordableZonesInDeficit returns the zones whose demand exceeds the runners that are present, by descending
// deficit, without those that cost too much.
func affordableZonesInDeficit(inputs Inputs, cheapestFirst []Zone, present func(Zone) int) []Zone {
	if inputs.Shares == nil || len(cheapestFirst) == 0 {
		return nil
	}
	var zones []Zone
	for _, zone := range cheapestFirst {
		if inputs.deficit(zone, present) > 0 && inputs.isAffordable(zone.Name, cheapestFirst[0].Name) {
			zones = append(zones, zone)
		}
	}
	inputs.sortByDeficit(zones, present)
	return zones
}
