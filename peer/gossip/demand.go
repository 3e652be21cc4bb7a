package gossip

import (
	"cmp"
	"slices"
	"time"
)

// GroupInterval is the least time between two reports of another group that
// are taken from daemons of that group.
const GroupInterval = 10 * time.Second

// groupReport returns the demand for each plan in the whole group, for daemons
// of other groups.
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
	report := Report{Reporter: NewID(c.members.own), Version: uint64(now)}
	for plan, rate := range sums {
		report.Demands = append(report.Demands, PlanRate{Plan: plan, Rate: rate})
	}
	slices.SortFunc(report.Demands, func(a, b PlanRate) int { return cmp.Compare(a.Plan, b.Plan) })
	return []Report{report}
}

// isTooEarly reports whether a report comes from another group so soon after
// the last one that it is not worth passing on.
func (c *Core) isTooEarly(report Report, sender *member) bool {
	known, ok := c.reports[report.Reporter]
	if sender == nil || sender.inGroup || !ok {
		return false
	}
	return report.Version < known.version+uint64(GroupInterval.Milliseconds())
}

// demand returns a rate as it is handed out.
func (c *Core) demand(rate PlanRate, reporter ID, version uint64) Demand {
	demand := Demand{
		Plan:    c.plans[rate.Plan],
		Version: version,
		Rate:    float64(rate.Rate) / ratesPerRequest,
	}
	if group := c.members.groups[reporter]; group != "" {
		demand.Group = group
	} else {
		demand.Reporter = c.members.names[reporter]
	}
	return demand
}
