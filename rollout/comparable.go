package rollout

// comparable returns the sums with responses of the target moved to the load level at which there are
// some of the old versions to compare them with: a version that is slow enough loads its runners above
// half of their slots while those of the old versions are below.
func (s Sums) comparable() Sums {
	var moved []int
	for r := range s.trial.routes {
		if s.trial.routes[r][cellIndex(true, false)].responses() < minTimed && s.trial.routes[r][cellIndex(false, false)].responses() >= minTimed {
			moved = append(moved, r)
		}
	}
	if len(moved) == 0 {
		return s
	}
	s.trial, s.earlier = s.trial.withoutLoad(moved), s.earlier.withoutLoad(moved)
	windows := make([]window, len(s.windows))
	for i, w := range s.windows {
		windows[i] = window{w.counts.withoutLoad(moved), w.length}
	}
	s.windows = windows
	return s
}

// withoutLoad returns the counts with the target's responses above half of the load moved to those
// below, on some routes.
func (c *counts) withoutLoad(routes []int) counts {
	moved := c.clone()
	for _, r := range routes {
		if r < len(moved.routes) {
			moved.routes[r][cellIndex(false, true)].add(&moved.routes[r][cellIndex(true, true)])
			moved.routes[r][cellIndex(true, true)] = cell{}
		}
	}
	return moved
}
