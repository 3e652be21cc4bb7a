package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cranberrywalk/cranberrywalk/limit"
)

const (
	// limitRate is the limit of the measured plan in calls a second.
	limitRate = 40.0
	limitName = "plan"
	limitTime = 5 * time.Minute
	limitWarm = 30 * time.Second
	// limitWindow is the time over which admissions are compared.
	limitWindow = 10 * time.Second
	// swingTime is the period in which demand rises and falls.
	swingTime = 60 * time.Second
	// hotTime is how long all demand is on one daemon before it moves on.
	hotTime = 45 * time.Second
	// partitionSide is the number of daemons on one side of a partition.
	partitionSide = 3
)

// limitScenario says where calls arrive and who hears whom.
type limitScenario struct {
	name string
	// pick returns the daemon of a call.
	pick func(random *rand.Rand, now time.Duration) int
	// parted says whether the network is parted at a time.
	parted func(now time.Duration) bool
}

// limitScenarios returns the scenarios of the limits.
func limitScenarios() []limitScenario {
	anywhere := func(random *rand.Rand, _ time.Duration) int { return random.IntN(daemons) }
	never := func(time.Duration) bool { return false }
	late := func(now time.Duration) bool { return now > limitWarm }
	return []limitScenario{
		{"normal", anywhere, never},
		{"demand on one daemon", func(_ *rand.Rand, now time.Duration) int { return int(now/hotTime) % daemons }, never},
		{"partition", anywhere, late},
		{"partition, demand moves to one side", func(random *rand.Rand, now time.Duration) int {
			if late(now) {
				return random.IntN(partitionSide)
			}
			return random.IntN(daemons)
		}, late},
	}
}

// limitRun is one run of the limiters against one exact token bucket.
type limitRun struct {
	loop     loop
	scenario limitScenario
	random   *rand.Rand
	limiters []*limit.Limiter
	exact    *limit.Limiter
	// admitted and wanted count the calls by window that the limiters and
	// the exact bucket admit.
	admitted, wanted [limitTime/limitWindow + 1]float64
	calls            float64
}

// limitOutcome sums up a run.
type limitOutcome struct {
	// over is the share of admissions above the limit and its burst.
	over float64
	// wrong is the share of calls that the exact bucket admits in excess of
	// the limiters.
	wrong float64
}

// runLimits returns the outcome of a scenario.
func runLimits(sc limitScenario, sharing limit.Sharing, seed uint64) limitOutcome {
	r := &limitRun{scenario: sc, random: random(seed, 6)}
	names := make([]string, daemons)
	for i := range names {
		names[i] = fmt.Sprintf("daemon-%d", i)
	}
	for i := range names {
		options := limit.DefaultOptions(names[i])
		options.Sharing = sharing
		l := limit.New(options)
		l.SetLimit(limitName, limitRate)
		l.SetPeers(append(append([]string{}, names[:i]...), names[i+1:]...))
		r.limiters = append(r.limiters, l)
		offset := digestPeriod * time.Duration(i) / daemons
		r.loop.every(offset, digestPeriod, func() { r.tell(i, names[i]) })
	}
	r.exact = limit.New(limit.DefaultOptions(""))
	r.exact.SetLimit(limitName, limitRate)
	r.arrive()
	r.loop.runUntil(limitTime)
	return r.sum()
}

// tell sends the demand at a daemon to the peers that it reaches.
func (r *limitRun) tell(from int, name string) {
	demands := r.limiters[from].Demands(epoch.Add(r.loop.now))
	r.loop.after(digestDelay, func() {
		parted := r.scenario.parted(r.loop.now)
		for to, l := range r.limiters {
			if to != from && (!parted || (to < partitionSide) == (from < partitionSide)) {
				l.Merge(name, demands, epoch.Add(r.loop.now))
			}
		}
	})
}

// arrive plans the next call. The demand swings between 60 and 140 % of the
// limit.
func (r *limitRun) arrive() {
	swing := 1 + 0.4*math.Sin(2*math.Pi*r.loop.now.Seconds()/swingTime.Seconds())
	wait := exponential(r.random, limitRate*swing)
	r.loop.after(time.Duration(wait*float64(time.Second)), func() {
		r.call()
		r.arrive()
	})
}

// call asks the limiter of one daemon and the exact bucket.
func (r *limitRun) call() {
	now := epoch.Add(r.loop.now)
	window := r.loop.now / limitWindow
	wanted := r.exact.Allow(limitName, 1, now) == nil
	admitted := r.limiters[r.scenario.pick(r.random, r.loop.now)].Allow(limitName, 1, now) == nil
	if r.loop.now < limitWarm {
		return
	}
	r.calls++
	r.wanted[window] += count(wanted)
	r.admitted[window] += count(admitted)
}

// sum returns the outcome of the run.
func (r *limitRun) sum() limitOutcome {
	var over, missing, limits float64
	allowed := limitRate * limitWindow.Seconds()
	for i := range r.admitted {
		over += max(0, r.admitted[i]-max(allowed, r.wanted[i]))
		missing += max(0, r.wanted[i]-r.admitted[i])
		if r.wanted[i] > 0 {
			limits += allowed
		}
	}
	return limitOutcome{over: over / limits, wrong: missing / r.calls}
}

// limitTable compares the ways to share a limit.
func limitTable(seeds int) *table {
	ways := []limit.Sharing{limit.FollowDemand, limit.EvenSplit, limit.NoSharing}
	names := []string{"shares follow demand", "even split", "no sharing"}
	scenarios := limitScenarios()
	results := overSeeds(len(scenarios)*len(ways), seeds, func(variant int, seed uint64) limitOutcome {
		return runLimits(scenarios[variant/len(ways)], ways[variant%len(ways)], seed)
	})
	out := &table{
		title: "Limits over all daemons",
		note: fmt.Sprintf("A limit of %.0f calls a second over %d daemons, demand swinging between 60 and 140 %% of it. Both "+
			"shares are over windows of %s, against one exact token bucket of the same burst. In the partition %d daemons "+
			"do not hear the other %d.", limitRate, daemons, limitWindow, partitionSide, daemons-partitionSide),
		columns: []string{"scenario", "sharing", "over-admission %", "wrongful refusals %"},
	}
	for i, result := range results {
		out.add(scenarios[i/len(ways)].name, names[i%len(ways)],
			spread(pick(result, func(o limitOutcome) float64 { return 100 * o.over }), "%.1f"),
			spread(pick(result, func(o limitOutcome) float64 { return 100 * o.wrong }), "%.1f"))
	}
	return out
}
