package duties

import (
	"context"
	"errors"

	"github.com/cranberrywalk/cranberrywalk/dutylease"
)

// sendOrders sends the orders that are due, as long as this process holds the lease that
// it acquired with the fencing token.
func (d *Duties) sendOrders(ctx context.Context, fencingToken uint64) {
	for _, order := range d.Scaler.Due(d.Clock.Now()) {
		current, holding := d.Holding()
		if !holding || current != fencingToken {
			return
		}
		if !d.sendOrder(ctx, fencingToken, order) {
			return
		}
	}
}

// sendOrder sends one order. It reports whether further orders can be sent.
func (d *Duties) sendOrder(ctx context.Context, fencingToken uint64, order dutylease.ScaleOrder) bool {
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	err := d.Platform.Order(ctx, fencingToken, order)
	now := d.Clock.Now()
	var conflict *dutylease.ConflictError
	switch {
	case err == nil:
		d.Scaler.Accepted(order, now)
		d.Log.Info("RunnersOrdered", "Service", order.Service, "Zone", order.Zone, "Reclaimable", order.Reclaimable,
			"Count", order.Count, "Fence", fencingToken)
		return true
	case errors.As(err, &conflict):
		d.Scaler.Refused(order, now)
		d.Log.Info("OrderRefused", "Service", order.Service, "Zone", order.Zone, "Reclaimable", order.Reclaimable,
			"Count", order.Count, "Fence", fencingToken, "Reason", err.Error())
		return true
	default:
		// The order is sent again in a later round. That is safe, since orders are
		// idempotent.
		d.Count("Duties.OrdersFailed", 1)
		return false
	}
}
