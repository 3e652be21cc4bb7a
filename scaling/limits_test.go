package scaling_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/scaling"
)

// TestLimitedRunnersCountForWhatTheyServe guards against runners that may get hardly any requests
// and count as whole ones, and against replacements that go and come with a limit.
func TestLimitedRunnersCountForWhatTheyServe(t *testing.T) {
	c := qt.New(t)
	d := scaling.NewDemandTracker(scaling.DefaultDemandOptions(), 12, start)
	now, started := start, uint64(0)
	// Forty requests a second of one and a half seconds each keep ten runners busy.
	run := func(limits []float64, length time.Duration) {
		for end := now.Add(length); now.Before(end); started += 20 {
			now = now.Add(500 * time.Millisecond)
			d.Observe(scaling.Sample{Requests: 60, Started: started, Ready: 20, Limits: limits}, now)
		}
	}
	run(nil, 20*time.Second)
	c.Check(d.Lost(), qt.Equals, 0)
	before := d.Runners()
	run([]float64{0.5, 0.5, 100}, 2*time.Second)
	c.Check(d.Lost(), qt.Equals, 2, qt.Commentf("a limit above what a runner serves takes nothing away"))
	run(nil, 10*time.Second)
	c.Check(d.Lost(), qt.Equals, 2)
	run(nil, 11*time.Second)
	c.Check(d.Lost(), qt.Equals, 0)
	c.Check(d.Runners() <= before, qt.IsTrue, qt.Commentf("%d after %d", d.Runners(), before))
}

// TestLimitedRunnersAreReplaced guards against orders that take limited runners for whole ones,
// that replace each of them several times, or that rise again when the limits end.
func TestLimitedRunnersAreReplaced(t *testing.T) {
	c := qt.New(t)
	const needed = 4
	cloud, planner := newCloud(0), scaling.New(scaling.DefaultOptions())
	now := cloud.rounds(planner, needed, start, 20)
	before, _ := cloud.total()
	plan := func(lost, seconds int) int {
		for range seconds {
			now = now.Add(time.Second)
			inputs := cloud.inputs(needed)
			inputs.Lost = lost
			cloud.carryOut(planner, planner.Plan(inputs, now), now)
		}
		reclaimable, onDemand := cloud.total()
		c.Check(onDemand, qt.Equals, 0)
		return reclaimable
	}
	c.Check(plan(2, 5), qt.Equals, before+2)
	c.Check(plan(20, 5), qt.Equals, before+needed)
	ordered := map[string]int{}
	for name, zone := range cloud.zones {
		ordered[name] = zone.Reclaimable
	}
	orders := len(cloud.orders)
	c.Check(plan(0, 5), qt.Equals, before)
	for _, order := range cloud.orders[orders:] {
		c.Check(order.Count <= ordered[order.Zone], qt.IsTrue, qt.Commentf("%+v", order))
	}
}
