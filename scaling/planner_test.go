package scaling_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/dutylease"
	"github.com/cranberrywalk/cranberrywalk/scaling"
)

var start = time.Unix(1000, 0)

// cloud carries out orders. Exhausted zones have no capacity for reclaimable
// runners.
type cloud struct {
	zones     map[string]*scaling.Zone
	exhausted map[string]bool
	orders    []dutylease.ScaleOrder
}

func newCloud(onDemand int) *cloud {
	c := &cloud{zones: map[string]*scaling.Zone{}, exhausted: map[string]bool{}}
	for _, name := range zoneNames {
		c.zones[name] = &scaling.Zone{Name: name, OnDemand: onDemand}
	}
	return c
}

var zoneNames = []string{"a", "b", "c", "d"}

func (c *cloud) inputs(runners int) scaling.Inputs {
	inputs := scaling.Inputs{Runners: runners, Service: catalog.Service{Name: "models", Scaling: &catalog.Scaling{
		Min: 1, Max: 6, BootTime: 4 * time.Second, ReclaimablePrice: 0.2,
		ZonePrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
	}}}
	for _, name := range zoneNames {
		inputs.Zones = append(inputs.Zones, *c.zones[name])
	}
	return inputs
}

// round runs the planner once and carries out its orders immediately.
func (c *cloud) round(p *scaling.Planner, runners int, now time.Time) {
	c.carryOut(p, p.Plan(c.inputs(runners), now), now)
}

// carryOut carries out orders immediately.
func (c *cloud) carryOut(p *scaling.Planner, orders []dutylease.ScaleOrder, now time.Time) {
	for _, order := range orders {
		c.orders = append(c.orders, order)
		zone := c.zones[order.Zone]
		present := &zone.OnDemand
		if order.Reclaimable {
			present = &zone.Reclaimable
		}
		if order.Reclaimable && c.exhausted[order.Zone] && order.Count > *present {
			p.Refused(order, now)
			continue
		}
		*present = order.Count
		p.Accepted(order, now)
	}
}

// rounds runs the planner every 500 ms for a number of seconds.
func (c *cloud) rounds(p *scaling.Planner, runners int, from time.Time, seconds int) time.Time {
	for range 2 * seconds {
		from = from.Add(500 * time.Millisecond)
		c.round(p, runners, from)
	}
	return from
}

// reclaim removes the reclaimable runners of a zone and marks zones as exhausted.
func (c *cloud) reclaim(name string, exhausted ...string) {
	c.zones[name].Reclaimable = 0
	for _, zone := range exhausted {
		c.exhausted[zone] = true
	}
}

func (c *cloud) total() (reclaimable, onDemand int) {
	for _, zone := range c.zones {
		reclaimable += zone.Reclaimable
		onDemand += zone.OnDemand
	}
	return reclaimable, onDemand
}

func TestReclaimableRunnersReplaceOnDemandOnes(t *testing.T) {
	c := qt.New(t)
	cloud := newCloud(3)
	cloud.rounds(scaling.New(scaling.DefaultOptions()), 6, start, 20)
	reclaimable, onDemand := cloud.total()
	c.Check(reclaimable, qt.Equals, 18)
	c.Check(onDemand, qt.Equals, 0)
	for _, zone := range cloud.zones {
		c.Check(zone.Reclaimable >= 4, qt.IsTrue, qt.Commentf("zone %s has %d", zone.Name, zone.Reclaimable))
	}
}

// All reclaimable runners of one zone after the other are reclaimed while no zone
// has capacity for new ones.
func TestZonesAreReclaimedOneAfterAnother(t *testing.T) {
	c := qt.New(t)
	cloud := newCloud(0)
	p := scaling.New(scaling.DefaultOptions())
	now := cloud.rounds(p, 6, start, 10)
	cloud.reclaim("a", zoneNames...)
	cloud.reclaim("b")
	reclaimable, _ := cloud.total()
	c.Check(reclaimable >= 9, qt.IsTrue, qt.Commentf("spares and headroom cover the loss of two zones at once: %d", reclaimable))
	now = cloud.rounds(p, 6, now, 5)
	cloud.reclaim("c")
	now = cloud.rounds(p, 6, now, 5)
	reclaimable, onDemand := cloud.total()
	c.Check(reclaimable+onDemand >= 6, qt.IsTrue, qt.Commentf("%d and %d", reclaimable, onDemand))
	c.Check(reclaimable >= 4, qt.IsTrue, qt.Commentf("remaining reclaimable runners are kept: %d", reclaimable))

	cloud.exhausted = map[string]bool{}
	cloud.rounds(p, 6, now, 20)
	reclaimable, onDemand = cloud.total()
	c.Check(reclaimable, qt.Equals, 18)
	c.Check(onDemand, qt.Equals, 0, qt.Commentf("on-demand runners are released"))
}

func TestSpares(t *testing.T) {
	c := qt.New(t)
	p := scaling.New(scaling.DefaultOptions())
	cheap := catalog.Scaling{ReclaimablePrice: 0.15}
	for _, scenario := range []struct{ needed, zones, reclaimable int }{
		{0, 4, 0}, {4, 4, 12}, {4, 6, 9}, {4, 2, 12}, {4, 1, 6}, {4, 0, 6},
	} {
		c.Check(p.WithSpares(scenario.needed, scenario.zones, cheap), qt.Equals, scenario.reclaimable, qt.Commentf("%+v", scenario))
	}
	c.Check(p.WithSpares(4, 4, catalog.Scaling{ReclaimablePrice: 0.5}), qt.Equals, 8, qt.Commentf("never dearer than on-demand runners"))
	c.Check(p.WithSpares(4, 4, catalog.Scaling{}), qt.Equals, 12, qt.Commentf("price not known"))
}

// The whole system has started and no request has arrived. The on-demand runners that
// are there at the start are released as soon as reclaimable ones are ordered, and not
// before.
func TestIdleSystemReleasesOnDemandRunners(t *testing.T) {
	for _, isIdle := range []bool{true, false} {
		t.Run(fmt.Sprint(isIdle), func(t *testing.T) {
			c := qt.New(t)
			cloud := newCloud(3)
			p := scaling.New(scaling.DefaultOptions())
			now := start
			for range 6 {
				now = now.Add(500 * time.Millisecond)
				inputs := cloud.inputs(4)
				inputs.IsIdle = isIdle
				for _, order := range p.Plan(inputs, now) {
					p.Accepted(order, now)
					if !order.Reclaimable {
						// Reclaimable runners are still booting.
						cloud.zones[order.Zone].OnDemand = order.Count
					}
				}
			}
			_, onDemand := cloud.total()
			if isIdle {
				c.Check(onDemand, qt.Equals, 0)
				return
			}
			c.Check(onDemand >= 4, qt.IsTrue, qt.Commentf("%d", onDemand))
		})
	}
}

func TestOrdersStayWithinTheLimits(t *testing.T) {
	c := qt.New(t)
	cloud := newCloud(3)
	p := scaling.New(scaling.DefaultOptions())
	now := cloud.rounds(p, 60, start, 10)
	cloud.reclaim("a", zoneNames...)
	cloud.rounds(p, 60, now, 10)
	for _, zone := range cloud.zones {
		c.Check(zone.Reclaimable+zone.OnDemand <= 6, qt.IsTrue, qt.Commentf("%+v", *zone))
		c.Check(zone.Reclaimable+zone.OnDemand >= 1, qt.IsTrue, qt.Commentf("%+v", *zone))
	}
}

func TestSteadyStateNeedsNoOrders(t *testing.T) {
	c := qt.New(t)
	cloud := newCloud(3)
	p := scaling.New(scaling.DefaultOptions())
	now := cloud.rounds(p, 12, start, 20)
	cloud.orders = nil
	cloud.rounds(p, 12, now, 60)
	c.Check(cloud.orders, qt.HasLen, 0)
}

func TestRefusedOrdersAreRetriedRarely(t *testing.T) {
	c := qt.New(t)
	cloud := newCloud(3)
	cloud.exhausted = map[string]bool{"a": true, "b": true, "c": true, "d": true}
	cloud.rounds(scaling.New(scaling.DefaultOptions()), 12, start, 30)
	c.Check(len(cloud.orders) <= 4*6, qt.IsTrue, qt.Commentf("%d orders", len(cloud.orders)))
	_, onDemand := cloud.total()
	c.Check(onDemand, qt.Equals, 12)
}

// Most runners are lost, and replacements take seconds to boot. An order for
// on-demand runners must not be lowered before they are ready.
func TestBootingOnDemandRunnersAreKept(t *testing.T) {
	c := qt.New(t)
	cloud := newCloud(0)
	p := scaling.New(scaling.DefaultOptions())
	now := cloud.rounds(p, 12, start, 10)
	for _, name := range zoneNames {
		cloud.exhausted[name] = true
	}
	cloud.zones["a"].Reclaimable, cloud.zones["b"].Reclaimable = 0, 0
	ordered := map[string]int{}
	for range 8 {
		now = now.Add(500 * time.Millisecond)
		for _, order := range p.Plan(cloud.inputs(12), now) {
			if order.Reclaimable {
				p.Refused(order, now)
				continue
			}
			c.Check(order.Count >= ordered[order.Zone], qt.IsTrue, qt.Commentf("%+v after %d", order, ordered[order.Zone]))
			ordered[order.Zone] = order.Count
			p.Accepted(order, now)
		}
	}
	total := 0
	for _, count := range ordered {
		total += count
	}
	c.Check(total >= 3, qt.IsTrue, qt.Commentf("%v", ordered))
}

// The last zone with reclaimable runners is reclaimed while no capacity for them
// is left. Most of the runners needed must already be on-demand at that moment.
func TestLastZoneIsReclaimed(t *testing.T) {
	c := qt.New(t)
	cloud := newCloud(0)
	p := scaling.New(scaling.DefaultOptions())
	now := cloud.rounds(p, 8, start, 10)
	cloud.reclaim("a", zoneNames...)
	now = cloud.rounds(p, 8, now, 6)
	cloud.reclaim("b")
	now = cloud.rounds(p, 8, now, 6)
	cloud.reclaim("c")
	cloud.rounds(p, 8, now, 6)
	cloud.reclaim("d")
	_, onDemand := cloud.total()
	c.Check(onDemand >= 6, qt.IsTrue, qt.Commentf("%d on-demand runners are left of the 8 needed", onDemand))
}
