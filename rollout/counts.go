package rollout

import "time"

// counts holds the counts of the routes of a service.
type counts struct {
	// names holds the routes in the order in which they were first seen, and routes their
	// counts in the same order. Routes are only appended, at most MaxRoutes with OtherRoutes.
	names  []string
	routes [][cellsPerRoute]cell
}

// index returns the index of a route, which it adds if needed.
func (c *counts) index(route string) int {
	for i, name := range c.names {
		if name == route {
			return i
		}
	}
	if len(c.names) >= MaxRoutes-1 && route != OtherRoutes {
		return c.index(OtherRoutes)
	}
	c.names = append(c.names, route)
	c.routes = append(c.routes, [cellsPerRoute]cell{})
	return len(c.names) - 1
}

// cell returns the counts of a route, a load level and a version.
func (c *counts) cell(route string, loaded, target bool) *cell {
	return &c.routes[c.index(route)][cellIndex(loaded, target)]
}

// add adds reported counts.
func (c *counts) add(routes []RouteReport) {
	for _, reported := range routes {
		index := c.index(reported.Route)
		for i := range reported.Cells {
			added := reported.Cells[i].cell()
			c.routes[index][i].add(&added)
		}
	}
}

// subtract removes reported counts that were added before.
func (c *counts) subtract(routes []RouteReport) {
	for _, reported := range routes {
		index := c.index(reported.Route)
		for i := range reported.Cells {
			removed := reported.Cells[i].cell()
			c.routes[index][i].subtract(&removed)
		}
	}
}

// since returns the counts that were added after an earlier copy.
func (c *counts) since(earlier counts) counts {
	difference := c.clone()
	for r := range earlier.routes {
		for i := range earlier.routes[r] {
			difference.routes[r][i].since(&earlier.routes[r][i])
		}
	}
	return difference
}

// clone returns a copy. The names are shared, since they are only appended.
func (c *counts) clone() counts {
	return counts{names: c.names, routes: append([][cellsPerRoute]cell(nil), c.routes...)}
}

// report returns the wire form of the counts.
func (c *counts) report() []RouteReport {
	reports := make([]RouteReport, len(c.names))
	for r, name := range c.names {
		reports[r].Route = name
		for i := range c.routes[r] {
			reports[r].Cells[i] = c.routes[r][i].report()
		}
	}
	return reports
}

// meanOldTime returns the mean time in which the old versions have responded, or zero.
func (c *counts) meanOldTime() time.Duration {
	count, sum := 0.0, 0.0
	for r := range c.routes {
		for _, loaded := range loadLevels {
			for bin, n := range c.routes[r][cellIndex(loaded, false)].times {
				count += float64(n)
				sum += float64(n) * binMiddle(bin).Seconds()
			}
		}
	}
	if count == 0 {
		return 0
	}
	return time.Duration(sum / count * float64(time.Second))
}

// targetResponses counts the responses of the target.
func (c *counts) targetResponses() int {
	count := 0
	for r := range c.routes {
		for _, loaded := range loadLevels {
			count += c.routes[r][cellIndex(loaded, true)].responses()
		}
	}
	return count
}
