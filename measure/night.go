package measure

import (
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/route"
)

const (
	// nightTime is the time from closing to opening, shortened.
	nightTime = 10 * time.Minute
	// taggingShare is the work of tagging as a share of what the runners can
	// do in a night.
	taggingShare = 0.6
	// taggingBatch is the number of tagging calls that are sent at a time.
	taggingBatch = 1500
	// taggingPriority is below that of every other call.
	taggingPriority = -1
)

// nightOutcome sums up a night.
type nightOutcome struct {
	// onTime is the share of ordinary calls within the target.
	onTime float64
	// tagged is the share of the tagging that is done by opening.
	tagged float64
	// finished is when the last tagging call ended, as a share of the night.
	finished float64
	// refusals counts the refusals for each tagging call.
	refusals float64
}

// night sends tagging calls beside the ordinary load of a night. A refused
// call comes back when it was told to.
type night struct {
	*simulation
	instructions text
	prompts      prompts
	left         int
	done         int
	refusals     int
	last         time.Duration
}

// runNight returns the outcome of a night.
func runNight(policy route.Policy, seed uint64) nightOutcome {
	t := Porchlight()
	capacity := t.capacity(len(t.runners()))
	total := int(taggingShare * capacity * nightTime.Seconds())
	n := &night{
		simulation: newSimulation(t, Scenario{}, policy, seed, steady(quietLoad*capacity)),
		prompts:    prompts{random: random(seed, 5), seen: map[uint64]bool{}, texts: 1 << 30},
		left:       total,
	}
	n.instructions = n.prompts.text(courseTokens)
	n.onEnd = n.ended
	n.loop.at(warmUp, func() {
		for range taggingBatch {
			n.tag()
		}
	})
	n.run(warmUp + nightTime)
	return nightOutcome{
		onTime:   n.ordinary(),
		tagged:   float64(n.done) / float64(total),
		finished: (n.last - warmUp).Seconds() / nightTime.Seconds(),
		refusals: float64(n.refusals) / float64(total),
	}
}

// tag sends the next tagging call.
func (n *night) tag() {
	if n.left == 0 {
		return
	}
	n.left--
	c := n.prompts.call(tagging, n.instructions, n.prompts.text(taggingTokens))
	c.route.Priority = taggingPriority
	n.submit(c)
}

// ended sends the next tagging call, or a refused one again.
func (n *night) ended(c *call) {
	if c.kind != tagging {
		return
	}
	if c.refused {
		n.refusals++
		n.loop.after(c.retryAfter, func() {
			c.refused = false
			n.send(c)
		})
		return
	}
	n.done++
	n.last = n.loop.now
	n.tag()
}

// ordinary returns the share of ordinary calls within the target.
func (n *night) ordinary() float64 {
	var all, onTime float64
	for _, c := range n.calls {
		if c.kind != tagging && c.arrived >= warmUp && c.arrived < warmUp+nightTime-drainTime {
			all++
			onTime += count(c.onTime())
		}
	}
	return onTime / all
}

// nightTable compares the policies in a night.
func nightTable(seeds int) *table {
	compared := policies(Porchlight())
	results := overSeeds(len(compared), seeds, func(variant int, seed uint64) nightOutcome {
		return runNight(compared[variant], seed)
	})
	out := &table{
		title: "Porchlight: tagging at night",
		note: fmt.Sprintf("A night of %s with ordinary calls at %.0f %% of the capacity and tagging worth %.0f %%, %d calls "+
			"at a time and at the lowest priority.", nightTime, 100*quietLoad, 100*taggingShare, taggingBatch),
		columns: []string{"policy", "ordinary calls in time %", "tagged by opening %", "last tagging, % of the night",
			"refusals for a tagging call"},
	}
	for i, policy := range compared {
		r := results[i]
		out.add(policy.Name(),
			spread(pick(r, func(o nightOutcome) float64 { return 100 * o.onTime }), "%.1f"),
			spread(pick(r, func(o nightOutcome) float64 { return 100 * o.tagged }), "%.1f"),
			spread(pick(r, func(o nightOutcome) float64 { return 100 * o.finished }), "%.0f"),
			spread(pick(r, func(o nightOutcome) float64 { return o.refusals }), "%.2f"))
	}
	return out
}
