package usage_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/usage"
)

// Guards against a window that is decided while a process may still tell more counts, and
// against waiting for processes that have nothing more to tell.
func TestOutstandingCounts(t *testing.T) {
	const length = 5 * time.Second
	end := start.Add(length)
	for name, scenario := range map[string]struct {
		observe     func(*usage.Counter)
		outstanding bool
	}{
		"nobody was heard":      {observe: func(*usage.Counter) {}},
		"counts from a peer":    {observe: func(c *usage.Counter) { c.Merge("a", []usage.Count{{Window: 200, Customer: "library", Requests: 1}}) }},
		"heard in the window":   {observe: func(c *usage.Counter) { c.Heard("a", end.Add(-time.Second)) }, outstanding: true},
		"heard just before":     {observe: func(c *usage.Counter) { c.Heard("a", start.Add(-time.Second)) }, outstanding: true},
		"heard long before":     {observe: func(c *usage.Counter) { c.Heard("a", start.Add(-length-time.Second)) }},
		"heard after its end":   {observe: func(c *usage.Counter) { c.Heard("a", end) }},
		"ended in the window":   {observe: func(c *usage.Counter) { c.Heard("a", end.Add(-time.Second)); c.Ended("a") }},
		"an older digest later": {observe: func(c *usage.Counter) { c.Heard("a", end); c.Heard("a", start) }},
		"one of two":            {observe: func(c *usage.Counter) { c.Heard("a", end); c.Heard("b", start) }, outstanding: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			counter := usage.New(length, 4)
			scenario.observe(counter)
			c.Check(counter.HasOutstanding(200), qt.Equals, scenario.outstanding)
		})
	}
}
