// Package rollout decides how the traffic of a service is shifted to another software version:
// how many requests the new version gets, whether it is worse than the version that it replaces,
// and when the shift is complete or is undone. It does no I/O.
package rollout

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/latest"
)

// Order asks for the traffic of a service to be shifted to the runners of one version.
type Order struct {
	Service, Target string
	// Period is the time from the order to its deadline.
	Period time.Duration
	// Position is the place of the order's record in the store.
	Position latest.Position
	// OrderedAt is the earliest time at which the order is known to have existed, by this
	// process's clock. It is not after any time at which a process learned of the order.
	OrderedAt time.Time
}

// Deadline returns when the order must have reached a terminal phase.
func (o Order) Deadline() time.Time { return o.OrderedAt.Add(o.Period) }

// IsSame reports whether two records are one order. A restore of the store changes the epoch of
// a record and not its offset, so epochs are not compared: a version that was rolled back gets
// no second trial after a restore.
func (o Order) IsSame(other Order) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Period == other.Period &&
		o.Position.Offset == other.Position.Offset
}
