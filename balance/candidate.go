package balance

import (
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/inventory"
)

// Status says whether a runner may be chosen for a request, and otherwise why not.
type Status string

// The statuses of a runner.
const (
	Eligible        Status = "Eligible"
	IsLeaving       Status = "Leaving"
	IsReplaced      Status = "Replaced"
	IsPaused        Status = "Paused"
	IsUnreachable   Status = "Unreachable"
	IsZoneCut       Status = "ZoneUnreachable"
	HasOtherVersion Status = "OtherVersion"
	IsLimited       Status = "LimitReached"
	// IsPassedOver is a runner that is left out for others, such as one that fails while others have
	// reached their limits.
	IsPassedOver Status = "PassedOver"
)

// Candidate is a runner of a service as this daemon sees it.
type Candidate struct {
	Runner inventory.Runner
	Status Status
	// Chance is the fraction of the draws in which the runner was chosen.
	Chance float64
	// Own and Peers are the loads that this daemon and the others put on it.
	Own, Peers Load
	// Uncached counts the prompt tokens that would have to be read.
	Uncached int
	// FailureScore is 1 if all recent requests have failed.
	FailureScore float64
	// Speed and Knee are what was learned of it: its speed relative to the typical, and the part of its
	// slots up to which it does not slow down.
	Speed, Knee float64
	// Stated is what the runner has said last of its load, and StatedAge how long ago, if it has.
	Stated    call.Load
	StatedAge time.Duration
}

// explainDraws is the number of choices from which the chances of runners are estimated. Requests wait for
// the balancer meanwhile.
const explainDraws = 8

// Explain returns the runners of a service with their chances to be chosen for a request, and the mean age
// of the loads that other daemons put on them. It counts no request.
func (b *Balancer) Explain(request Request, now time.Time) (all []Candidate, peersAge time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.learner.Refresh(now)
	eligible := make(map[*runner]int)
	request = b.withoutNeedlessExclusion(request)
	found := b.candidates(request, now).runners
	for _, r := range found {
		eligible[r] = 0
	}
	if len(found) > 0 {
		for range explainDraws {
			_, chosen := b.cheapest(found, request, now)
			eligible[chosen]++
		}
	}
	preferred := preferredRunner(withoutLimits(found), request.Prompt)
	for _, r := range b.ordered {
		if r.entry.Service != request.Service {
			continue
		}
		c := b.candidate(r, now)
		c.Uncached = r.uncached(request, r == preferred)
		c.Status = b.status(r, request, now)
		if chosen, isEligible := eligible[r]; isEligible {
			c.Status, c.Chance = Eligible, float64(chosen)/explainDraws
		}
		all = append(all, c)
	}
	return all, b.peers.meanAge(now)
}

// candidate returns what is known of a runner. The mutex must be held.
func (b *Balancer) candidate(r *runner, now time.Time) Candidate {
	estimate := r.learned.Estimate()
	c := Candidate{
		Runner: r.entry, Own: Load{Runner: r.entry.ID, Running: r.running, PrefillTokens: r.prefillTokens}, Peers: b.peers.load(r.entry.ID, now),
		FailureScore: r.decayedFailureScore(now, b.options.FailureTimeConstant), Speed: estimate.Speed, Knee: estimate.Knee, Stated: r.load,
	}
	if r.load.IsKnown() {
		c.StatedAge = now.Sub(r.loadAt)
	}
	return c
}

// status returns why a runner is not eligible. The mutex must be held.
func (b *Balancer) status(r *runner, request Request, now time.Time) Status {
	switch {
	case !r.hasVersion(request.Version), slices.Contains(request.ExcludedVersions, r.entry.Version):
		return HasOtherVersion
	case r.isReplaced:
		return IsReplaced
	case !r.isAvailable():
		return IsLeaving
	case r.signals.pauseLeft(now) > 0:
		return IsPaused
	case now.Before(r.downUntil):
		return IsUnreachable
	case b.isZoneUnreachable(r, now):
		return IsZoneCut
	case !b.isWithinLimit(r, request, now):
		return IsLimited
	default:
		return IsPassedOver
	}
}
