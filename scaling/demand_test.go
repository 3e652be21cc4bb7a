package scaling_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/scaling"
)

// load applies a constant load to a demand tracker every 500 ms with all runners ready,
// and returns the last target and the time at the end.
func load(d *scaling.DemandTracker, requests, runners int, from time.Time, length time.Duration) (int, time.Time) {
	now := from
	for now.Before(from.Add(length)) {
		now = now.Add(500 * time.Millisecond)
		runners = d.Runners(requests, runners, now)
	}
	return runners, now
}

// A service that starts with far more runners than its load needs is scaled down
// at the same relative rate, whatever its size.
func TestDemandFallsAtTheSameRateForAnySize(t *testing.T) {
	options := scaling.DefaultDemandOptions()
	for _, size := range []int{12, 24, 90, 400} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := qt.New(t)
			d := scaling.NewDemandTracker(options, size, start)
			quarter := int(options.RequestsPerRunner) * size / 4
			initial, now := load(d, quarter, size, start, options.TakeoverHold-time.Second)
			c.Check(initial, qt.Equals, size, qt.Commentf("the load before the takeover is not known"))
			runners, now := load(d, quarter, initial, now, 25*time.Second)
			c.Check(runners <= size/3+1, qt.IsTrue, qt.Commentf("%d of %d after 25 s", runners, size))
			runners, _ = load(d, quarter, runners, now, time.Minute)
			c.Check(runners >= size/4, qt.IsTrue, qt.Commentf("%d of %d are needed", runners, size/4))
		})
	}
}

func TestDemandRisesInSteps(t *testing.T) {
	c := qt.New(t)
	options := scaling.DefaultDemandOptions()
	d := scaling.NewDemandTracker(options, 10, start)
	runners, _ := load(d, 1000, 10, start, options.ScaleUpInterval)
	c.Check(runners, qt.Equals, 12)
}

// When the runners of a zone are reclaimed, the queue grows. The queue must not
// raise the target while runners are missing.
func TestDemandStaysWhileRunnersAreMissing(t *testing.T) {
	c := qt.New(t)
	d := scaling.NewDemandTracker(scaling.DefaultDemandOptions(), 10, start)
	now := start
	for range 20 {
		now = now.Add(time.Second)
		c.Assert(d.Runners(500, 7, now), qt.Equals, 10)
	}
}
