package route

import (
	"maps"
	"math"
	"slices"
)

// arrange lays the runners and the daemons around a circle, each in the order
// of their names, and notes how far each runner is from this daemon. All
// daemons arrive at the same circle, so each has a part of the runners near it
// that few others use. A daemon without a name takes no part.
func (v *View) arrange() {
	if v.options.Daemon == "" {
		return
	}
	daemons := append(slices.Collect(maps.Keys(v.peers)), v.options.Daemon)
	slices.Sort(daemons)
	own := place(slices.Index(daemons, v.options.Daemon), len(daemons))
	for i, name := range slices.Sorted(maps.Keys(v.index)) {
		distance := math.Abs(place(i, len(v.index)) - own)
		v.slots[v.index[name]].distance = 2 * min(distance, 1-distance)
	}
}

// place returns the middle of one of count equal parts of a circle of length 1.
func place(part, count int) float64 { return (float64(part) + 0.5) / float64(count) }
