package clocksync_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/clocksync"
)

func TestMedianOfClocks(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, scenario := range []struct {
		name string
		// offsets holds the offsets of the peers' clocks from the local clock.
		offsets []time.Duration
		want    time.Duration
	}{
		{"alone", nil, 0},
		{"two of five clocks have stepped", []time.Duration{0, 0, 2400 * time.Millisecond, 2400 * time.Millisecond}, 0},
		{"the local clock has stepped", []time.Duration{-time.Hour, -time.Hour, -time.Hour}, -time.Hour},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			clock := clocksync.New(time.Minute, start)
			for i, offset := range scenario.offsets {
				clock.AddSample(string(rune('a'+i)), start.Add(offset), start)
			}
			c.Check(clock.At(start), qt.Equals, start.Add(scenario.want))
		})
	}
}

func TestExpiredSamplesAreNotUsed(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	clock := clocksync.New(time.Second, start)
	clock.AddSample("a", start.Add(time.Hour), start)
	clock.AddSample("b", start.Add(time.Hour), start)
	later := start.Add(2 * time.Second)
	c.Check(clock.At(later), qt.Equals, later)
}
