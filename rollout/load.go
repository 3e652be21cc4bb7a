package rollout

import (
	"math"
	"time"
)

// Load is what the turns of a service depend on.
type Load struct {
	// OldRunners counts the runners of other versions that get requests. It is zero if it is not known,
	// or if these are not loaded.
	OldRunners int
	// OldTime is the mean time in which these respond, or zero if it is not known.
	OldTime time.Duration
}

const (
	// turnLength is the time of a turn unless maxCycle limits it. With 1.4 s, 7 of 120 versions that were
	// slower by 2 under load were found too late in groups of 6 and 9 runners, with 1.8 s 2 of them.
	turnLength = 1800 * time.Millisecond
	// maxCycle bounds the time from one turn to the next, so that a late fault is seen in time.
	maxCycle = 4 * time.Second
	// shareReserve is the part of the share that turns use. If a turn were longer than the share
	// allows, the last of its responses would be slow ones at the target and any at the others.
	shareReserve = 0.97
	// minFillPart is the least part of the requests that the target gets at the beginning of a turn, until
	// its runner has as many in flight as the others, and maxFillTime the time up to which it gets it.
	minFillPart = 0.5
	maxFillTime = 500 * time.Millisecond
)

// hasTurns reports whether the share of the requests is less than the part of one runner.
func (l Load) hasTurns(share float64) bool {
	return l.OldRunners > 0 && shareReserve*share < l.part()
}

// cycle returns the time from one turn to the next, or zero if the target gets its share at all times.
func (l Load) cycle(share float64) time.Duration {
	if !l.hasTurns(share) {
		return 0
	}
	return min(time.Duration(float64(turnLength)*l.part()/share), maxCycle)
}

// targetWeight is what one runner of the target gets in a turn relative to an old one. In a turn there is
// one runner more, so that all are loaded less than after a switch: with 1, 11 of 120 versions that were
// slower by 2 above half of the slots only were completed where the load was 0.66, with 1.1 none. With 1.2,
// 19 of 80 good versions with 3 and 4 runners were rolled back there.
const targetWeight = 1.1

// part returns the part of the requests that one runner of the target gets beside the old ones.
func (l Load) part() float64 { return targetWeight / (float64(l.OldRunners) + targetWeight) }

// missing returns the part of a runner's usual requests in flight that have ended after a gap.
func (l Load) missing(gap time.Duration) float64 {
	if l.OldTime <= 0 {
		return 1
	}
	return 1 - math.Exp(-max(gap, 0).Seconds()/l.OldTime.Seconds())
}

// fillPart returns the part of the requests that a runner gets at the beginning of a turn.
func (l Load) fillPart() float64 { return min(max(2*l.part(), minFillPart), 1) }

// fillTime returns the time after which a runner that misses a part of its usual requests has as many in
// flight as the others, if the times of responses are exponential.
func (l Load) fillTime(missing float64) time.Duration {
	surplus := l.fillPart()/l.part() - 1
	return min(time.Duration(float64(max(l.OldTime, 0))*math.Log1p(missing/surplus)), maxFillTime)
}

const (
	// minTurnLoad is the share of the old versions' responses of runners above half of their slots from
	// which there are turns. It is less than the share from which a result under load is required. With a
	// lower load the runners need not be loaded alike, and a target runner changes more often without.
	minTurnLoad = 0.05
	// minTurnResponses is the number of responses from which the share is known.
	minTurnResponses = 40
)

// observeLoad ends turns if the old runners are not loaded, and begins them once they are. They then go on
// until the end of the trial, since the load of the old runners is less during turns.
func (r *Reports) observeLoad() {
	if r.isSwitch || r.isLoaded {
		return
	}
	loaded, all := 0, 0
	for i := range r.sums.routes {
		busy := r.sums.routes[i][cellIndex(true, false)].responses()
		loaded += busy
		all += busy + r.sums.routes[i][cellIndex(false, false)].responses()
	}
	if all >= minTurnResponses {
		r.isLoaded = float64(loaded) >= minTurnLoad*float64(all)
		r.isCalm = !r.isLoaded
	}
}

// SetOldRunners tells how many runners of other versions than the target of the newest order of a service
// get requests. It changes the turns of a trial only.
func (c *Controller) SetOldRunners(service string, count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.rolls[service]
	if len(known) == 0 {
		return
	}
	if newest := known.newest(); newest.state.Phase <= Trial {
		newest.reports.oldRunners = max(count, 0)
	}
}

// load returns what is known of the load of the old runners, or nothing if that is low.
func (r *Reports) load() Load {
	if r.isCalm {
		return Load{}
	}
	return Load{OldRunners: r.oldRunners, OldTime: r.sums.meanOldTime()}
}
