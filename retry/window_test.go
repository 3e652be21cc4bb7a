package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/retry"
)

// TestStormOfRetries sends requests that all fail: in no window there are more
// repeats than the bound, over all daemons.
func TestStormOfRetries(t *testing.T) {
	c := qt.New(t)
	const daemons = 7
	options := retry.WindowOptions{Length: 10 * time.Second, Ratio: 0.2, Slack: 54, Share: 0.7}
	var windows []*retry.Window
	for range daemons {
		windows = append(windows, retry.NewWindow(options))
	}
	var repeats, requests []time.Time
	now := time.Unix(1000, 0)
	for range 3000 {
		for _, w := range windows {
			w.Note(now)
			requests = append(requests, now)
			if w.Take(daemons, now) {
				repeats = append(repeats, now)
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	within := func(times []time.Time, first time.Time) int {
		count := 0
		for _, at := range times {
			if !at.Before(first) && at.Sub(first) < options.Length {
				count++
			}
		}
		return count
	}
	for first := time.Unix(1000, 0); first.Before(now.Add(-options.Length)); first = first.Add(time.Second) {
		allowed := options.Ratio*float64(within(requests, first)) + options.Slack
		c.Check(float64(within(repeats, first)) <= allowed, qt.IsTrue)
	}
	c.Check(len(repeats) > 1000, qt.IsTrue, qt.Commentf("%d repeats", len(repeats)))
}
