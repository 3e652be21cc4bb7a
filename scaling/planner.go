// Package scaling decides how many runners of a service are ordered in each
// zone, and of which kind. Reclaimable runners are cheap, but a zone may lose all of
// them at once. On-demand runners fill the gap until reclaimable ones are available
// again. The package does no I/O.
package scaling

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/dutylease"
)

// Options configures how runners are ordered.
type Options struct {
	// BlockDuration is how long no reclaimable runner is ordered in a zone that
	// had no capacity or whose reclaimable runners were just reclaimed.
	BlockDuration time.Duration
	// Headroom is the fraction by which the reclaimable runners exceed the number
	// needed after a loss of zones: those that are left have other prompts in their
	// caches and serve more than their share until the load is spread again.
	Headroom float64
	// ZoneLosses is the number of zones that may be reclaimed within the time that
	// an on-demand runner takes to boot. The reclaimable runners in the other zones
	// must suffice until then.
	ZoneLosses int
	// Reserve applies while some zone is out of reclaimable capacity. It is the
	// fraction of the number needed that must be left when any one zone loses
	// its reclaimable runners.
	Reserve float64
	// BootMargin is added to the boot time; an ordered runner that is not ready
	// after both counts as lost.
	BootMargin time.Duration
	// ScaleDownDelay is how long on-demand runners are kept after they are no
	// longer needed.
	ScaleDownDelay time.Duration
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{BlockDuration: 6 * time.Second, Headroom: 0.5, ZoneLosses: 2, Reserve: 0.75, ScaleDownDelay: time.Second, BootMargin: 4 * time.Second}
}

// Zone counts the runners of a service in a zone.
type Zone struct {
	Name string
	// Reclaimable and OnDemand count the ready runners of each kind.
	// Leaving counts the reclaimable runners that are shutting down.
	Reclaimable, OnDemand, Leaving int
}

// Inputs holds what a plan is based on.
type Inputs struct {
	Service catalog.Service
	Zones   []Zone
	// Runners is the number that the load needs, and Lost the number of runners that are
	// there and serve nothing since they have named limits.
	Runners, Lost int
	// Shares holds the fraction of the demand that reaches the daemons of each zone, or is nil while the demand
	// is even or not known.
	Shares map[string]float64
	// KeepOnDemand leaves the on-demand runners unchanged, because not all of
	// them are known yet.
	KeepOnDemand bool
	// IsIdle is true while no request has arrived since the whole system started.
	// On-demand runners need not bridge the time until reclaimable ones are ready.
	IsIdle bool
}

// replacements returns how many runners are ordered in place of lost ones. They are at most as
// many as the load needs, though more may be lost.
func (i Inputs) replacements() int { return min(i.Lost, i.Runners) }

// orderKey identifies the subject of an order.
type orderKey struct {
	service, zone string
	reclaimable   bool
}

// Planner plans the orders of one holder of the duty. It is not safe for
// concurrent use.
type Planner struct {
	options Options
	// ordered holds the last order that took effect, with its time.
	ordered map[orderKey]placedOrder
	// blockedUntil is the time until which no reclaimable runners are ordered in
	// a zone.
	blockedUntil map[orderKey]time.Time
	// surplusSince is the time since which a service has had more on-demand
	// runners than it needs.
	surplusSince map[string]time.Time
}

type placedOrder struct {
	count int
	at    time.Time
	// reached is true once count runners were ready.
	reached bool
}

// New returns a planner without earlier orders.
func New(options Options) *Planner {
	return &Planner{
		options: options, ordered: make(map[orderKey]placedOrder), blockedUntil: make(map[orderKey]time.Time),
		surplusSince: make(map[string]time.Time),
	}
}

// Plan returns the orders that are due.
func (p *Planner) Plan(inputs Inputs, now time.Time) []dutylease.ScaleOrder {
	if inputs.Service.Scaling == nil {
		return nil
	}
	p.blockReclaimedZones(inputs, now)
	reclaimable := p.planReclaimable(inputs, now)
	onDemand := p.planOnDemand(inputs, reclaimable, now)
	var orders []dutylease.ScaleOrder
	for _, zone := range inputs.Zones {
		orders = p.appendIfDue(orders, inputs, zone, true, reclaimable[zone.Name], now)
		if !inputs.KeepOnDemand {
			orders = p.appendIfDue(orders, inputs, zone, false, onDemand[zone.Name], now)
		}
	}
	return orders
}

// Accepted records an order that took effect.
func (p *Planner) Accepted(order dutylease.ScaleOrder, now time.Time) {
	p.ordered[keyOf(order)] = placedOrder{count: order.Count, at: now}
}

// Refused records an order that was refused for lack of capacity.
func (p *Planner) Refused(order dutylease.ScaleOrder, now time.Time) {
	if order.Reclaimable {
		p.blockedUntil[keyOf(order)] = now.Add(p.options.BlockDuration)
	}
}

func keyOf(order dutylease.ScaleOrder) orderKey {
	return orderKey{service: order.Service, zone: order.Zone, reclaimable: order.Reclaimable}
}

// blockReclaimedZones blocks the zones whose reclaimable runners are all being
// reclaimed.
func (p *Planner) blockReclaimedZones(inputs Inputs, now time.Time) {
	for _, zone := range inputs.Zones {
		k := orderKey{service: inputs.Service.Name, zone: zone.Name, reclaimable: true}
		if zone.Leaving == 0 || zone.Reclaimable > 0 {
			continue
		}
		p.blockedUntil[k] = now.Add(p.options.BlockDuration)
		p.ordered[k] = placedOrder{at: now}
	}
}

// planReclaimable spreads the reclaimable runners evenly over the zones that are
// not blocked.
func (p *Planner) planReclaimable(inputs Inputs, now time.Time) map[string]int {
	zones := p.openZones(inputs, now)
	counts := make(map[string]int, len(inputs.Zones))
	limits := inputs.Service.Scaling
	wanted := p.WithSpares(inputs.Runners, len(inputs.Zones), *limits) + inputs.replacements()
	for _, zone := range inputs.Zones {
		if p.isBlocked(inputs.Service.Name, zone.Name, now) {
			counts[zone.Name] = zone.Reclaimable
			wanted -= zone.Reclaimable
		}
	}
	for range wanted {
		best := ""
		for _, zone := range zones {
			if counts[zone.Name] >= limits.Max-p.provisioned(inputs, zone) {
				continue
			}
			if best == "" || counts[zone.Name] < counts[best] {
				best = zone.Name
			}
		}
		if best == "" {
			break
		}
		counts[best]++
	}
	p.shiftToDemand(inputs, zones, counts)
	return counts
}

// isBlocked reports whether a zone is assumed to be out of reclaimable capacity.
// The runners that it has are kept.
func (p *Planner) isBlocked(service, zone string, now time.Time) bool {
	return now.Before(p.blockedUntil[orderKey{service: service, zone: zone, reclaimable: true}])
}

// openZones returns the zones that are not blocked, cheapest first.
func (p *Planner) openZones(inputs Inputs, now time.Time) []Zone {
	var open []Zone
	for _, zone := range inputs.Zones {
		if !p.isBlocked(inputs.Service.Name, zone.Name, now) {
			open = append(open, zone)
		}
	}
	prices := inputs.Service.Scaling.ZonePrices
	slices.SortFunc(open, func(x, y Zone) int {
		return cmp.Or(cmp.Compare(prices[x.Name], prices[y.Name]), cmp.Compare(x.Name, y.Name))
	})
	return open
}

// appendIfDue appends an order if it differs from the last one that took effect, or
// if the last one must be repeated because its runners are lost.
func (p *Planner) appendIfDue(
	orders []dutylease.ScaleOrder, inputs Inputs, zone Zone, reclaimable bool, count int, now time.Time,
) []dutylease.ScaleOrder {
	order := dutylease.ScaleOrder{Service: inputs.Service.Name, Zone: zone.Name, Reclaimable: reclaimable, Count: count}
	last, known := p.ordered[keyOf(order)]
	present := zone.OnDemand
	if reclaimable {
		present = zone.Reclaimable
	}
	if known && present >= last.count {
		last.reached = true
		p.ordered[keyOf(order)] = last
	}
	switch {
	case !known && count == present:
		return orders
	case known && last.count == count && !p.isLost(last, present, inputs.Service.Scaling.BootTime, now):
		return orders
	case reclaimable && count <= present && p.isBlocked(inputs.Service.Name, zone.Name, now):
		return orders
	}
	return append(orders, order)
}

// isLost reports whether runners of an order have disappeared without notice or
// have not become ready in time.
func (p *Planner) isLost(last placedOrder, present int, boot time.Duration, now time.Time) bool {
	if present >= last.count {
		return false
	}
	return last.reached || now.Sub(last.at) >= boot+p.options.BootMargin
}
