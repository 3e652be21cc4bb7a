package balance

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/capacity"
	"github.com/cranberrywalk/cranberrywalk/inventory"
)

// Request describes a request as far as the choice of a runner depends on it.
type Request struct {
	Service string
	// Version is the software version of the runners that may be chosen, or empty if any may.
	// A stream whose caller has an event goes on at the version that sent it.
	Version string
	// ExcludedVersions are the software versions of the runners that must not be chosen. If
	// ExcludedIfOthers is true, they may be while no runner of another version may get requests.
	ExcludedVersions []string
	ExcludedIfOthers bool
	// PreferredVersion is chosen if one of its runners is available, and any other one otherwise.
	// It may be empty.
	PreferredVersion string
	// MaxCandidates bounds the runners among which the choice is made: the first ones by ID that are
	// available, or others with each turn. These are the same at all daemons. Zero means no bound.
	MaxCandidates int
	Turn          int
	Prompt        []call.PromptSegment
	// PromptTokens is zero for plain services.
	PromptTokens int
	// Excluded holds the IDs of runners that must not be chosen, such as those
	// that were tried before.
	Excluded []string
	// AvailableOnly leaves out runners that appear to be unreachable or full.
	AvailableOnly bool
	// Only is the ID of the only runner that may be chosen, or empty.
	Only string
	// Continues is true if the caller has a part of the answer already. Such a request may be
	// sent ahead of its turn to a runner that has reached its limit.
	Continues bool
}

// Choice is the chosen runner with the figures behind the choice.
type Choice struct {
	Runner inventory.Runner
	// Cost and NextCost are the costs of the chosen and of the second-best runner.
	// NextCost is infinite if there is no second one or the runner was drawn.
	Cost, NextCost float64
	// Uncached is the number of prompt tokens to be prefilled at the runner.
	Uncached int
	// Candidates counts the runners that could have been chosen, and Limited those that
	// could not since this daemon has used up its share of their limits.
	Candidates, Limited int
	// Limit is the limit of the chosen runner and this daemon's share of it.
	Limit LimitState
	// Estimate is what the chosen runner is thought to carry, and Slowness the time that work takes on
	// its VM now, relative to the usual.
	Estimate capacity.Estimate
	Slowness float64
	// IsHalfFull is true if the runner had requests for at least half of its slots.
	IsHalfFull bool
}

// NoRunnerError reports that no runner of a service is available.
type NoRunnerError struct {
	Service string
	// Version is the software version that was asked for, or empty, and ExcludedVersions are those
	// that were excluded.
	Version          string
	ExcludedVersions []string
	// Known counts the runners of the service that have an allowed version, including those that are
	// leaving.
	Known int
	// PauseLeft is the time until the first runner wants requests again, or zero if
	// that is not why none is available.
	PauseLeft time.Duration
	// Limited counts the runners that get no more requests from this daemon for now since
	// they have named a limit.
	Limited int
}

// Error implements error.
func (e *NoRunnerError) Error() string {
	text := "no runner of service " + e.Service
	if e.Version != "" {
		text += " with version " + e.Version
	}
	if len(e.ExcludedVersions) > 0 {
		text += " with a version other than " + strings.Join(e.ExcludedVersions, ", ")
	}
	text += " is available"
	if e.Limited > 0 {
		text += "; " + strconv.Itoa(e.Limited) + " have reached their limits"
	}
	return text
}

// Choose returns the runner with the lowest cost and counts the request there.
// It fails with a *NoRunnerError. The caller must end the Ticket.
func (b *Balancer) Choose(request Request, now time.Time) (Choice, *Ticket, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.daemons.RecordDemand(request.Service, now)
	b.learner.Refresh(now)
	request = b.withoutNeedlessExclusion(request)
	found := b.candidates(request, now)
	if len(found.runners) == 0 {
		pauseLeft := b.servicePauseLeft(request.Service, request.Version, now)
		return Choice{}, nil, &NoRunnerError{
			Service: request.Service, Version: request.Version, ExcludedVersions: request.ExcludedVersions, Known: found.known,
			PauseLeft: pauseLeft, Limited: found.limited,
		}
	}
	best, chosen := b.cheapest(found.runners, request, now)
	if probed := b.runnerToProbe(found.runners, now); probed != nil {
		best.Runner, best.Uncached, chosen = probed.entry, probed.uncached(request, false), probed
	}
	best.Candidates, best.Limited, best.Limit = len(found.runners), found.limited, b.limitState(chosen, now)
	best.Estimate, best.Slowness = chosen.learned.Estimate(), chosen.learned.Slowness(now)
	best.IsHalfFull = b.isHalfFull(chosen, now)
	return best, b.begin(chosen, request, best.Uncached, now), nil
}

// withoutNeedlessExclusion returns the request without excluded versions, if they are excluded only
// while runners of other versions are there and none is.
func (b *Balancer) withoutNeedlessExclusion(request Request) Request {
	if request.ExcludedIfOthers && !b.hasOtherVersion(request.Service, request.ExcludedVersions) {
		request.ExcludedVersions = nil
	}
	return request
}

// cheapest returns the runner with the lowest cost. For a plain request it draws one at random if the
// runners are known to differ in speed.
func (b *Balancer) cheapest(runners []*runner, request Request, now time.Time) (Choice, *runner) {
	best := Choice{Cost: math.Inf(1), NextCost: math.Inf(1)}
	var chosen *runner
	mean := meanFailureScore(runners, now, b.options.FailureTimeConstant)
	preferred := preferredRunner(withoutLimits(runners), request.Prompt)
	if request.PromptTokens == 0 && hasDifferentSpeeds(runners, now) {
		return b.drawRunner(runners, request, mean, now)
	}
	for _, r := range runners {
		uncached := r.uncached(request, r == preferred)
		cost := b.cost(r, request, uncached, mean, now)
		if best.offer(r, cost, uncached) {
			chosen = r
		}
	}
	return best, chosen
}

// offer takes a runner if its cost is the lowest so far, and reports whether it does.
func (c *Choice) offer(r *runner, cost float64, uncached int) bool {
	if cost < c.Cost {
		c.NextCost = c.Cost
		c.Cost, c.Runner, c.Uncached = cost, r.entry, uncached
		return true
	}
	c.NextCost = min(c.NextCost, cost)
	return false
}

// isZoneUnreachable reports whether the runner is in another zone that appears to
// be unreachable from this one.
func (b *Balancer) isZoneUnreachable(r *runner, now time.Time) bool {
	return r.entry.Zone != b.options.Zone && b.zoneOf(r.entry.Zone).isUnreachable(now)
}

// candidates are the runners that may be chosen for a request.
type candidates struct {
	runners []*runner
	// known counts the runners of the service and version, and limited those that could be reached and
	// are left out for their limits alone.
	known, limited int
}

// candidates returns the runners that may be chosen for a request, of the preferred version if
// there are any.
func (b *Balancer) candidates(request Request, now time.Time) candidates {
	if request.Version == "" && request.PreferredVersion != "" {
		preferred := request
		preferred.Version = request.PreferredVersion
		if found := b.candidatesOfVersion(preferred, now); len(found.runners) > 0 {
			return found
		}
	}
	return b.candidatesOfVersion(request, now)
}

// candidatesOfVersion returns the runners of the version that the request names. Runners that
// appear to be unreachable are returned only when there are no others. If the others have
// reached their limits, neither those nor broken ones are: the request had better come back.
func (b *Balancer) candidatesOfVersion(request Request, now time.Time) candidates {
	var found candidates
	var down, ofVersion []*runner
	for _, r := range b.ordered {
		if r.entry.Service != request.Service || !r.hasVersion(request.Version) || slices.Contains(request.ExcludedVersions, r.entry.Version) {
			continue
		}
		found.known++
		if request.MaxCandidates > 0 {
			ofVersion = append(ofVersion, r)
		}
		if !r.isAvailable() || r.signals.pauseLeft(now) > 0 || slices.Contains(request.Excluded, r.entry.ID) {
			continue
		}
		if !b.isAllowed(r, request, now) {
			continue
		}
		isDown := now.Before(r.downUntil) || b.isZoneUnreachable(r, now)
		switch isWithinLimit := b.isWithinLimit(r, request, now); {
		case isDown && isWithinLimit:
			down = append(down, r)
		case isDown:
		case isWithinLimit:
			found.runners = append(found.runners, r)
		default:
			found.limited++
		}
	}
	switch {
	case found.limited > 0:
		found.runners = b.withoutBroken(found.runners, now)
	case len(found.runners) == 0:
		found.runners = down
	}
	if request.MaxCandidates > 0 {
		found.runners = ofTurn(ofVersion, found.runners, request.MaxCandidates, request.Turn)
	}
	return found
}

// ofTurn returns a number of runners of those that may be chosen, others with each turn. They are the same
// at daemons that know the same runners, unless one of these may not be chosen there.
func ofTurn(known, available []*runner, count, turn int) []*runner {
	chosen := make([]*runner, 0, count)
	first := max(turn, 0) * count
	for i := 0; i < len(known) && len(chosen) < count; i++ {
		if r := known[(first+i)%len(known)]; slices.Contains(available, r) {
			chosen = append(chosen, r)
		}
	}
	return chosen
}

// costJitter is the relative random increase of a cost. It spreads the choices of
// daemons that see the same costs.
const costJitter = 0.05

func (b *Balancer) cost(r *runner, request Request, uncached int, meanScore float64, now time.Time) float64 {
	running, prefill := b.total(r, now)
	excess := max(r.decayedFailureScore(now, b.options.FailureTimeConstant)-meanScore, 0)
	cost := b.fixedCost(r, request, excess)
	if request.PromptTokens == 0 {
		cost += float64(running)
	} else {
		cost += float64(prefill) + b.options.UncachedTokenCost*float64(uncached) + b.options.RunningRequestCost*float64(running)
	}
	return cost * (1 + costJitter*b.random.Float64())
}

// fixedCost returns the part of the cost that does not depend on the load: that of failures and of
// the zone. excess is the failure score above the mean.
func (b *Balancer) fixedCost(r *runner, request Request, excess float64) float64 {
	perFailure, perZone := b.options.FailureCostEngine, b.options.CrossZoneCostEngine
	if request.PromptTokens == 0 {
		perFailure, perZone = b.options.FailureCostPlain, b.options.CrossZoneCostPlain
	}
	cost := perFailure * excess * excess
	if r.entry.Zone != b.options.Zone {
		cost += perZone
	}
	return cost
}
