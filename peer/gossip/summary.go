package gossip

import (
	"cmp"
	"slices"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// summaries sums the loads of the backend servers in the zones of the group, by
// zone and model or plain service. Leaving servers are left out.
func (c *Core) summaries() []Summary {
	sums := make(map[Summary]Summary)
	loads := c.backendLoads()
	for _, vm := range c.members.backends {
		if _, leaving := c.notices.leaving[vm.Name]; leaving || vm.Leaving {
			continue
		}
		for _, key := range summaryKeys(vm) {
			sums[key] = sums[key].plus(loads[NewID(vm.Name)])
		}
	}
	summaries := make([]Summary, 0, len(sums))
	for key, sum := range sums {
		sum.Zone, sum.Model, sum.Service = key.Zone, key.Model, key.Service
		summaries = append(summaries, sum)
	}
	slices.SortFunc(summaries, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Service, b.Service))
	})
	return summaries
}

// summaryKeys returns the keys of the summaries to which a backend server's load
// is added.
func summaryKeys(vm hosting.VM) []Summary {
	var keys []Summary
	for _, model := range vm.Models {
		keys = append(keys, Summary{Zone: vm.Zone, Model: model})
	}
	if vm.Service != "" {
		keys = append(keys, Summary{Zone: vm.Zone, Service: vm.Service})
	}
	return keys
}

// backendLoads returns the load of each backend server: the newest one that the
// server itself reported, with Running raised to at least the sum of the requests
// that all daemons have in flight there.
func (c *Core) backendLoads() map[ID]Load {
	newest := make(map[ID]fact[Load])
	inFlight := make(map[ID]uint32)
	for _, reporter := range c.reports {
		for id, fact := range reporter.loads {
			inFlight[id] += fact.value.InFlight
			if fact.value.isReported() && fact.version > newest[id].version {
				newest[id] = fact
			}
		}
	}
	loads := make(map[ID]Load, len(inFlight))
	for id, sum := range inFlight {
		load := newest[id].value
		load.Running = max(load.Running, sum)
		loads[id] = load
	}
	return loads
}

// isReported reports whether the load includes figures from the backend server's
// own load report.
func (l Load) isReported() bool { return l.Running > 0 || l.Queued > 0 || l.QueuedTokens > 0 }

func (s Summary) plus(load Load) Summary {
	s.Backends++
	s.Running += int(load.Running)
	s.Queued += int(load.Queued)
	s.QueuedTokens += int(load.QueuedTokens)
	return s
}
