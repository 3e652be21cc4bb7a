package measure

import (
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/route"
)

const (
	// nightTime is the simulated time from closing time to opening time of the tool
	// library, which is shorter than a real night.
	nightTime = 10 * time.Minute
	// taggingShare is the number of tagging calls as a share of the capacity of a
	// night.
	taggingShare = 0.6
	// taggingBatch is the number of concurrent tagging calls.
	taggingBatch = 1500
	// taggingPriority is lower than the priority of every other call.
	taggingPriority = -1
)

// nightOutcome is the result of a night.
type nightOutcome struct {
	// ordinaryOnTime is the share of ordinary calls within both latency targets.
	ordinaryOnTime float64
	// tagged is the share of the tagging calls that are answered before opening time.
	tagged float64
	// finishedAt is when the last tagging call ended, as a share of the night.
	finishedAt float64
	// refusalsPerCall is the mean number of refusals of a tagging call.
	refusalsPerCall float64
}

// nightRun sends tagging calls in addition to the ordinary load of a night. A
// refused call is retried after the delay that the refusal names.
type nightRun struct {
	*simulation
	instructions segment
	prompts      promptGenerator
	remaining    int
	tagged       int
	refusals     int
	lastTaggedAt time.Duration
}

// runNight simulates a night.
func runNight(policy route.Policy, seed uint64) nightOutcome {
	t := Porchlight()
	capacity := t.idealCapacity(len(t.runners()))
	total := int(taggingShare * capacity * nightTime.Seconds())
	// The segment IDs of tagging calls start above those of ordinary calls.
	n := &nightRun{
		simulation: newSimulation(t, Scenario{}, policy, seed, constantRate(quietLoad*capacity)),
		prompts:    promptGenerator{random: newRandom(seed, 5), seenBlocks: map[uint64]bool{}, segments: 1 << 30},
		remaining:  total,
	}
	n.instructions = n.prompts.newSegment(instructionTokens)
	n.onEnd = n.handleEnd
	n.loop.at(warmUp, func() {
		for range taggingBatch {
			n.sendTagging()
		}
	})
	n.run(warmUp + nightTime)
	return nightOutcome{
		ordinaryOnTime:  n.ordinaryOnTime(),
		tagged:          float64(n.tagged) / float64(total),
		finishedAt:      (n.lastTaggedAt - warmUp).Seconds() / nightTime.Seconds(),
		refusalsPerCall: float64(n.refusals) / float64(total),
	}
}

// sendTagging sends the next tagging call.
func (n *nightRun) sendTagging() {
	if n.remaining == 0 {
		return
	}
	n.remaining--
	c := n.prompts.newCall(tagging, n.instructions, n.prompts.newSegment(taggingTokens))
	c.route.Priority = taggingPriority
	n.submit(c)
}

// handleEnd sends the next tagging call after an answered one, and retries a
// refused one.
func (n *nightRun) handleEnd(c *call) {
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
	n.tagged++
	n.lastTaggedAt = n.loop.now
	n.sendTagging()
}

// ordinaryOnTime returns the share of ordinary calls within both latency targets.
func (n *nightRun) ordinaryOnTime() float64 {
	var all, onTime float64
	for _, c := range n.calls {
		if c.kind != tagging && c.arrivedAt >= warmUp && c.arrivedAt < warmUp+nightTime-drainTime {
			all++
			onTime += boolToFloat(c.onTime())
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
			formatMedianAndRange(collect(r, func(o nightOutcome) float64 { return 100 * o.ordinaryOnTime }), "%.1f"),
			formatMedianAndRange(collect(r, func(o nightOutcome) float64 { return 100 * o.tagged }), "%.1f"),
			formatMedianAndRange(collect(r, func(o nightOutcome) float64 { return 100 * o.finishedAt }), "%.0f"),
			formatMedianAndRange(collect(r, func(o nightOutcome) float64 { return o.refusalsPerCall }), "%.2f"))
	}
	return out
}
