package catalog

import "slices"

// prioritiesOf returns the priorities with which requests may come to each service, in increasing order:
// those of its routes, and those of customers, who may use all routes.
func prioritiesOf(spec Spec) map[string][]int {
	priorities := make(map[string][]int)
	for _, route := range spec.Routes {
		for _, split := range route.Splits {
			priorities[split.Service] = append(priorities[split.Service], route.Priority)
		}
	}
	for service, found := range priorities {
		for _, customer := range spec.Customers {
			if customer.HasPriority {
				found = append(found, customer.Priority)
			}
		}
		slices.Sort(found)
		priorities[service] = slices.Compact(found)
	}
	return priorities
}

// Priorities returns the priorities with which requests may come to a service, in increasing order and
// without repetition.
func (c *Catalog) Priorities(service string) []int { return c.priorities[service] }
