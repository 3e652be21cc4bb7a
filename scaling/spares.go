package scaling

import (
	"math"

	"github.com/cranberrywalk/cranberrywalk/catalog"
)

// WithSpares returns the number of reclaimable runners, spread evenly over zones, of
// which the number needed and the headroom are left after the loss of ZoneLosses zones.
func (p *Planner) WithSpares(needed, zones int, scaling catalog.Scaling) int {
	return int(math.Ceil(float64(needed) * p.spareFactor(zones, scaling)))
}

// spareFactor returns the ratio of the reclaimable runners to the number needed. It is
// limited so that they never cost more than the on-demand runners in their place.
func (p *Planner) spareFactor(zones int, scaling catalog.Scaling) float64 {
	left := max(zones-p.options.ZoneLosses, 1)
	factor := (1 + p.options.Headroom) * float64(max(zones, 1)) / float64(left)
	if scaling.ReclaimablePrice > 0 {
		factor = min(factor, 1/scaling.ReclaimablePrice)
	}
	return max(factor, 1)
}
