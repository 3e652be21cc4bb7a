package route

import (
	"maps"
	"math"
	"slices"
)

// updateDistances spreads the runners and the daemons evenly around a circle, each
// sorted by name, and stores the distance of each runner from this daemon. All
// daemons compute the same circle, so each has nearby runners that few others
// prefer. A daemon without a name is not on the circle and stores no distances.
func (v *View) updateDistances() {
	if v.options.Daemon == "" {
		return
	}
	daemons := append(slices.Collect(maps.Keys(v.peers)), v.options.Daemon)
	slices.Sort(daemons)
	ownPosition := sectorCenter(slices.Index(daemons, v.options.Daemon), len(daemons))
	for i, name := range slices.Sorted(maps.Keys(v.index)) {
		distance := math.Abs(sectorCenter(i, len(v.index)) - ownPosition)
		v.slots[v.index[name]].distance = 2 * min(distance, 1-distance)
	}
}

// sectorCenter returns the center of a sector of a circle of length 1 that is divided
// into count equal sectors.
func sectorCenter(sector, count int) float64 { return (float64(sector) + 0.5) / float64(count) }
