// Package scaling decides how many runners of a service are ordered in each
// zone, and of which kind. Reclaimable runners are cheap, and all of a zone may
// be taken away at once; the others fill the gap until reclaimable ones are back.
// The package has no input or output.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/duty"
)

// Options sets how runners are ordered.
type Options struct {
	// BlockedFor is how long no reclaimable runner is ordered in a zone that
	// had none to give or has just lost them.
	BlockedFor time.Duration
	// Spare is the part by which the reclaimable runners exceed the number
	// that is needed, so that the loss of a zone is borne.
	Spare float64
	// Reserve is the part of the number that is needed which is to be left when
	// a zone loses its reclaimable runners while some zone has none to give.
	Reserve float64
	// BootMargin is added to the boot time before an ordered runner is taken
	// to be lost.
	BootMargin time.Duration
	// Settle is how long runners that are no longer needed are kept.
	Settle time.Duration
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{BlockedFor: 6 * time.Second, Spare: 0.5, Reserve: 0.75, Settle: time.Second, BootMargin: 4 * time.Second}
}

// Zone counts the runners of a service in a zone.
type Zone struct {
	Name string
	// Reclaimable and Lasting are ready; Leaving reclaimable ones are not.
	Reclaimable, Lasting, Leaving int
}

// Need is what the plan is made for.
type Need struct {
	Service catalog.Service
	Zones   []Zone
	// Runners is the number that the load needs.
	Runners int
	// KeepLasting leaves the lasting runners as they are, since not all of
	// them are known yet.
	KeepLasting bool
}

// key names what an order is about.
type key struct {
	service, zone string
	reclaimable   bool
}

// Planner plans the orders of one holder of the duty. It is not safe for use by
// several goroutines.
type Planner struct {
	options Options
	// ordered holds the last orders that took effect, and when.
	ordered map[key]placed
	// blocked holds until when no reclaimable runners are ordered.
	blocked map[key]time.Time
	// surplus is since when the service has had lasting runners too many.
	surplus map[string]time.Time
}

type placed struct {
	count int
	at    time.Time
	// reached is true once so many runners were ready.
	reached bool
}

// New returns a planner that has ordered nothing.
func New(options Options) *Planner {
	return &Planner{
		options: options, ordered: make(map[key]placed), blocked: make(map[key]time.Time),
		surplus: make(map[string]time.Time),
	}
}

// Plan returns the orders that are due.
func (p *Planner) Plan(need Need, now time.Time) []duty.Order {
	if need.Service.Scaling == nil {
		return nil
	}
	p.noteLosses(need, now)
	reclaimable := p.planReclaimable(need, now)
	lasting := p.planLasting(need, reclaimable, now)
	var orders []duty.Order
	for _, zone := range need.Zones {
		orders = p.due(orders, need, zone, true, reclaimable[zone.Name], now)
		if !need.KeepLasting {
			orders = p.due(orders, need, zone, false, lasting[zone.Name], now)
		}
	}
	return orders
}

// Done notes an order that took effect.
func (p *Planner) Done(order duty.Order, now time.Time) {
	p.ordered[keyOf(order)] = placed{count: order.Count, at: now}
}

// Refused notes an order that could not be met.
func (p *Planner) Refused(order duty.Order, now time.Time) {
	if order.Reclaimable {
		p.blocked[keyOf(order)] = now.Add(p.options.BlockedFor)
	}
}

func keyOf(order duty.Order) key {
	return key{service: order.Service, zone: order.Zone, reclaimable: order.Reclaimable}
}

// noteLosses blocks the zones whose reclaimable runners are being taken away.
func (p *Planner) noteLosses(need Need, now time.Time) {
	for _, zone := range need.Zones {
		k := key{service: need.Service.Name, zone: zone.Name, reclaimable: true}
		if zone.Leaving == 0 || zone.Reclaimable > 0 {
			continue
		}
		p.blocked[k] = now.Add(p.options.BlockedFor)
		p.ordered[k] = placed{at: now}
	}
}

// planReclaimable spreads the reclaimable runners over the zones that have some
// to give.
func (p *Planner) planReclaimable(need Need, now time.Time) map[string]int {
	open := p.open(need, now)
	counts := make(map[string]int, len(need.Zones))
	limits := need.Service.Scaling
	wanted := int(math.Ceil(float64(need.Runners) * (1 + p.options.Spare)))
	for _, zone := range need.Zones {
		if p.isBlocked(need.Service.Name, zone.Name, now) {
			counts[zone.Name] = zone.Reclaimable
			wanted -= zone.Reclaimable
		}
	}
	for range wanted {
		best := ""
		for _, zone := range open {
			if counts[zone.Name] >= limits.Max-p.held(need, zone) {
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
	return counts
}

// isBlocked reports whether a zone is taken to have no more reclaimable runners
// to give. Those that it has stay.
func (p *Planner) isBlocked(service, zone string, now time.Time) bool {
	return now.Before(p.blocked[key{service: service, zone: zone, reclaimable: true}])
}

// open returns the zones that are not blocked, the cheapest first.
func (p *Planner) open(need Need, now time.Time) []Zone {
	var open []Zone
	for _, zone := range need.Zones {
		if !p.isBlocked(need.Service.Name, zone.Name, now) {
			open = append(open, zone)
		}
	}
	prices := need.Service.Scaling.ZonePrices
	slices.SortFunc(open, func(x, y Zone) int {
		return cmp.Or(cmp.Compare(prices[x.Name], prices[y.Name]), cmp.Compare(x.Name, y.Name))
	})
	return open
}

// planLasting fills what the ready reclaimable runners lack with lasting ones,
// which are given back a while after they are no longer needed.
func (p *Planner) planLasting(need Need, reclaimable map[string]int, now time.Time) map[string]int {
	ready, largest, held := 0, 0, 0
	isScarce := false
	for _, zone := range need.Zones {
		ready += zone.Reclaimable
		largest = max(largest, zone.Reclaimable)
		held += p.held(need, zone)
		isScarce = isScarce || p.isBlocked(need.Service.Name, zone.Name, now)
	}
	missing := max(need.Runners-ready, 0)
	if isScarce {
		// What the largest zone may lose can't be replaced by others like it.
		reserve := int(math.Ceil(float64(need.Runners) * p.options.Reserve))
		missing = max(missing, reserve-(ready-largest))
	}
	service := need.Service.Name
	switch {
	case missing >= held:
		delete(p.surplus, service)
	case p.surplus[service].IsZero():
		p.surplus[service] = now
	}
	if missing < held && now.Sub(p.surplus[service]) < p.options.Settle {
		missing = held
	}
	return p.spread(need, reclaimable, missing)
}

// held returns the lasting runners of a zone that are ready or on their way.
func (p *Planner) held(need Need, zone Zone) int {
	last, known := p.ordered[key{service: need.Service.Name, zone: zone.Name}]
	if !known {
		return zone.Lasting
	}
	return last.count
}

// spread divides lasting runners over the zones: those that are there or on
// their way stay, and others come where they are cheapest.
func (p *Planner) spread(need Need, reclaimable map[string]int, wanted int) map[string]int {
	limits := need.Service.Scaling
	zones := slices.Clone(need.Zones)
	slices.SortStableFunc(zones, func(x, y Zone) int {
		return cmp.Or(cmp.Compare(limits.ZonePrices[x.Name], limits.ZonePrices[y.Name]), cmp.Compare(x.Name, y.Name))
	})
	counts := make(map[string]int, len(zones))
	for _, zone := range zones {
		counts[zone.Name] = max(limits.Min-zone.Reclaimable, 0)
		wanted -= counts[zone.Name]
	}
	place := func(most func(Zone) int) {
		for progress := true; progress && wanted > 0; {
			progress = false
			for _, zone := range zones {
				if wanted > 0 && counts[zone.Name] < most(zone) {
					counts[zone.Name]++
					wanted--
					progress = true
				}
			}
		}
	}
	place(func(zone Zone) int { return min(p.held(need, zone), limits.Max-zone.Reclaimable) })
	place(func(zone Zone) int { return limits.Max - max(reclaimable[zone.Name], zone.Reclaimable) })
	return counts
}

// due adds an order if it differs from the last one that took effect, or if that
// one must be given again.
func (p *Planner) due(
	orders []duty.Order, need Need, zone Zone, reclaimable bool, count int, now time.Time,
) []duty.Order {
	order := duty.Order{Service: need.Service.Name, Zone: zone.Name, Reclaimable: reclaimable, Count: count}
	last, known := p.ordered[keyOf(order)]
	present := zone.Lasting
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
	case known && last.count == count && !p.isLost(last, present, need.Service.Scaling.Boot, now):
		return orders
	case reclaimable && count <= present && p.isBlocked(need.Service.Name, zone.Name, now):
		return orders
	}
	return append(orders, order)
}

// isLost reports whether runners of an order have gone without a word, or have
// not come in time.
func (p *Planner) isLost(last placed, present int, boot time.Duration, now time.Time) bool {
	if present >= last.count {
		return false
	}
	return last.reached || now.Sub(last.at) >= boot+p.options.BootMargin
}
