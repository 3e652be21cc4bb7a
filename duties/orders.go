package duties

import (
	"context"
	"errors"

	"github.com/cranberrywalk/cranberrywalk/duty"
)

// order gives the orders that are due.
func (d *Duties) order(ctx context.Context) {
	for _, order := range d.Orders.Due(d.Clock.Now()) {
		fence, holding := d.holding()
		if !holding {
			return
		}
		if !d.give(ctx, fence, order) {
			return
		}
	}
}

// give gives one order. It reports whether more can be given.
func (d *Duties) give(ctx context.Context, fence uint64, order duty.Order) bool {
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	err := d.Platform.Order(ctx, fence, order)
	now := d.Clock.Now()
	var conflict *duty.ConflictError
	switch {
	case err == nil:
		d.Orders.Done(order, now)
		d.Log.Info("RunnersOrdered", "Service", order.Service, "Zone", order.Zone, "Reclaimable", order.Reclaimable,
			"Count", order.Count, "Fence", fence)
		return true
	case errors.As(err, &conflict):
		d.Orders.Refused(order, now)
		d.Log.Info("OrderRefused", "Service", order.Service, "Zone", order.Zone, "Reclaimable", order.Reclaimable,
			"Count", order.Count, "Fence", fence, "Reason", err.Error())
		return true
	default:
		// The order is given again, since it is the same whenever it takes
		// effect.
		d.Count("Duties.OrdersFailed", 1)
		return false
	}
}
