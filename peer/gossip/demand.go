package gossip

import (
	"cmp"
	"slices"
	"time"
)

// GroupReportInterval is the minimum time between two reports of another group
// that a daemon accepts from daemons of that group.
const GroupReportInterval = 10 * time.Second

// groupReport returns the demand for each plan summed over the group, for
// daemons of other groups.
func (c *Core) groupReport(now int64) []Report {
	sums := make(map[ID]uint32)
	for id, reporter := range c.reports {
		if c.members.groups[id] != "" {
			continue
		}
		for plan, fact := range reporter.demands {
			sums[plan] += fact.value.Rate
		}
	}
	if len(sums) == 0 {
		return nil
	}
	report := Report{Reporter: NewID(c.members.ownGroup), Version: uint64(now)}
	for plan, rate := range sums {
		report.Demands = append(report.Demands, PlanRate{Plan: plan, Rate: rate})
	}
	slices.SortFunc(report.Demands, func(a, b PlanRate) int { return cmp.Compare(a.Plan, b.Plan) })
	return []Report{report}
}

// isTooSoon reports whether a report from another group follows the last one
// within GroupReportInterval. Such a report is dropped to limit the traffic.
func (c *Core) isTooSoon(report Report, sender *member) bool {
	known, ok := c.reports[report.Reporter]
	if sender == nil || sender.inGroup || !ok {
		return false
	}
	return report.Version < known.version+uint64(GroupReportInterval.Milliseconds())
}

// demand converts a received rate to a Demand.
func (c *Core) demand(rate PlanRate, reporter ID, version uint64) Demand {
	demand := Demand{
		Plan:    c.plans[rate.Plan],
		Version: version,
		Rate:    float64(rate.Rate) / rateScale,
	}
	if group := c.members.groups[reporter]; group != "" {
		demand.Group = group
	} else {
		demand.Reporter = c.members.names[reporter]
	}
	return demand
}
