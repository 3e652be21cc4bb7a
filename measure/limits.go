package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cranberrywalk/cranberrywalk/limit"
)

const (
	// limitRate is the limit of the measured plan in calls per second.
	limitRate    = 40.0
	limitName    = "plan"
	limitRunTime = 5 * time.Minute
	limitWarmUp  = 30 * time.Second
	// limitWindow is the length of the windows in which admissions are compared.
	limitWindow = 10 * time.Second
	// demandPeriod is the period of the sinusoidal demand.
	demandPeriod = 60 * time.Second
	// hotspotTime is how long all demand is at one daemon before it moves to the
	// next one.
	hotspotTime = 45 * time.Second
	// minoritySize is the number of daemons on the smaller side of a partition.
	minoritySize = 3
)

// limitScenario defines at which daemons calls arrive and when the network is
// partitioned.
type limitScenario struct {
	name string
	// pickDaemon returns the daemon of a call.
	pickDaemon func(random *rand.Rand, now time.Duration) int
	// partitioned reports whether the network is partitioned at a time.
	partitioned func(now time.Duration) bool
}

// limitScenarios returns the scenarios in the order of the table.
func limitScenarios() []limitScenario {
	anywhere := func(random *rand.Rand, _ time.Duration) int { return random.IntN(daemonCount) }
	never := func(time.Duration) bool { return false }
	afterWarmUp := func(now time.Duration) bool { return now > limitWarmUp }
	return []limitScenario{
		{"normal", anywhere, never},
		{"demand on one daemon", func(_ *rand.Rand, now time.Duration) int { return int(now/hotspotTime) % daemonCount }, never},
		{"partition", anywhere, afterWarmUp},
		{"partition, demand moves to one side", func(random *rand.Rand, now time.Duration) int {
			if afterWarmUp(now) {
				return random.IntN(minoritySize)
			}
			return random.IntN(daemonCount)
		}, afterWarmUp},
	}
}

// limitRun is one run that compares the limiters of all daemons with one exact token
// bucket for all calls.
type limitRun struct {
	loop     eventLoop
	scenario limitScenario
	random   *rand.Rand
	limiters []*limit.Limiter
	exact    *limit.Limiter
	// admitted and exactAdmitted count, by window, the calls that the limiters
	// and the exact bucket admit.
	admitted, exactAdmitted [limitRunTime/limitWindow + 1]float64
	calls                   float64
}

// limitOutcome is the result of a run.
type limitOutcome struct {
	// overAdmission is the number of calls admitted beyond both the limit and the
	// exact bucket, as a share of the limit.
	overAdmission float64
	// wrongfulRefusals is the number of calls that the exact bucket admits beyond
	// those admitted by the limiters, by window, as a share of all calls.
	wrongfulRefusals float64
}

// runLimits runs a scenario.
func runLimits(sc limitScenario, sharing limit.Sharing, seed uint64) limitOutcome {
	r := &limitRun{scenario: sc, random: newRandom(seed, 6)}
	names := make([]string, daemonCount)
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
		offset := digestPeriod * time.Duration(i) / daemonCount
		r.loop.every(offset, digestPeriod, func() { r.sendDemands(i, names[i]) })
	}
	r.exact = limit.New(limit.DefaultOptions(""))
	r.exact.SetLimit(limitName, limitRate)
	r.scheduleArrival()
	r.loop.runUntil(limitRunTime)
	return r.summarize()
}

// sendDemands sends the demand at a daemon to the peers that it reaches.
func (r *limitRun) sendDemands(from int, name string) {
	demands := r.limiters[from].Demands(epoch.Add(r.loop.now))
	r.loop.after(digestDelay, func() {
		partitioned := r.scenario.partitioned(r.loop.now)
		for to, l := range r.limiters {
			if to != from && (!partitioned || (to < minoritySize) == (from < minoritySize)) {
				l.Merge(name, demands, epoch.Add(r.loop.now))
			}
		}
	})
}

// scheduleArrival schedules the next call. The demand varies between 60 and 140 %
// of the limit.
func (r *limitRun) scheduleArrival() {
	demandFactor := 1 + 0.4*math.Sin(2*math.Pi*r.loop.now.Seconds()/demandPeriod.Seconds())
	wait := exponential(r.random, limitRate*demandFactor)
	r.loop.after(time.Duration(wait*float64(time.Second)), func() {
		r.call()
		r.scheduleArrival()
	})
}

// call offers a call to the limiter of one daemon and to the exact bucket.
func (r *limitRun) call() {
	now := epoch.Add(r.loop.now)
	window := r.loop.now / limitWindow
	exactAdmitted := r.exact.Allow(limitName, 1, now) == nil
	admitted := r.limiters[r.scenario.pickDaemon(r.random, r.loop.now)].Allow(limitName, 1, now) == nil
	if r.loop.now < limitWarmUp {
		return
	}
	r.calls++
	r.exactAdmitted[window] += boolToFloat(exactAdmitted)
	r.admitted[window] += boolToFloat(admitted)
}

// summarize returns the outcome of the run.
func (r *limitRun) summarize() limitOutcome {
	var over, missing, limits float64
	allowed := limitRate * limitWindow.Seconds()
	for i := range r.admitted {
		over += max(0, r.admitted[i]-max(allowed, r.exactAdmitted[i]))
		missing += max(0, r.exactAdmitted[i]-r.admitted[i])
		if r.exactAdmitted[i] > 0 {
			limits += allowed
		}
	}
	return limitOutcome{overAdmission: over / limits, wrongfulRefusals: missing / r.calls}
}

// limitTable compares the ways to share a limit between daemons.
func limitTable(seeds int) *table {
	sharings := []limit.Sharing{limit.FollowDemand, limit.EvenSplit, limit.NoSharing}
	names := []string{"shares follow demand", "even split", "no sharing"}
	scenarios := limitScenarios()
	results := overSeeds(len(scenarios)*len(sharings), seeds, func(variant int, seed uint64) limitOutcome {
		return runLimits(scenarios[variant/len(sharings)], sharings[variant%len(sharings)], seed)
	})
	out := &table{
		title: "Limits over all daemons",
		note: fmt.Sprintf("A limit of %.0f calls a second over %d daemons, demand swinging between 60 and 140 %% of it. Both "+
			"shares are over windows of %s, against one exact token bucket of the same burst. In the partition %d daemons "+
			"do not hear the other %d.", limitRate, daemonCount, limitWindow, minoritySize, daemonCount-minoritySize),
		columns: []string{"scenario", "sharing", "over-admission %", "wrongful refusals %"},
	}
	for i, result := range results {
		out.add(scenarios[i/len(sharings)].name, names[i%len(sharings)],
			formatMedianAndRange(collect(result, func(o limitOutcome) float64 { return 100 * o.overAdmission }), "%.1f"),
			formatMedianAndRange(collect(result, func(o limitOutcome) float64 { return 100 * o.wrongfulRefusals }), "%.1f"))
	}
	return out
}
