package rollout

// allRoutes is the route of a group that holds all routes.
const allRoutes = -1

// group is a set of cells in which a fault is looked for.
type group struct {
	// route is the index of a route, or allRoutes.
	route      int
	onlyLoaded bool
	// isRequired is true if the target is not good before the group shows it.
	isRequired bool
}

const (
	// minRouteShare is the share of the old versions' responses from which a route is required,
	// and minLoadedShare that of the runners above half of their slots.
	minRouteShare  = 0.08
	minLoadedShare = 0.1
)

// groups returns the groups in which faults are looked for: all cells, each route, and all
// routes at runners above half of their slots.
func (c *counts) groups() []group {
	total, loaded := 0, 0
	perRoute := make([]int, len(c.routes))
	for r := range c.routes {
		calm, busy := c.routes[r][cellIndex(false, false)].responses(), c.routes[r][cellIndex(true, false)].responses()
		perRoute[r] = calm + busy
		total += calm + busy
		loaded += busy
	}
	if total == 0 {
		return nil
	}
	groups := []group{{route: allRoutes, isRequired: true}}
	groups = append(groups, group{route: allRoutes, onlyLoaded: true, isRequired: float64(loaded) >= minLoadedShare*float64(total)})
	if len(c.routes) == 1 {
		return groups
	}
	for r, n := range perRoute {
		groups = append(groups, group{route: r, isRequired: float64(n) >= minRouteShare*float64(total)})
	}
	return groups
}

// contains reports whether the group holds the cells of a route at a load level.
func (g group) contains(route int, loaded bool) bool {
	return (g.route == allRoutes || g.route == route) && (loaded || !g.onlyLoaded)
}

// isNarrow reports whether the group does not hold all cells.
func (g group) isNarrow() bool { return g.route != allRoutes || g.onlyLoaded }
