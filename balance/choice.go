package balance

import (
	"math"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/inventory"
)

// Request describes a request as far as the choice of a runner depends on it.
type Request struct {
	Service string
	Prompt  []call.PromptSegment
	// PromptTokens is zero for plain services.
	PromptTokens int
	// Excluded holds the IDs of runners that must not be chosen, such as those
	// that were tried before.
	Excluded []string
	// AvailableOnly leaves out runners that appear to be unreachable or full.
	AvailableOnly bool
	// Only is the ID of the only runner that may be chosen, or empty.
	Only string
}

// Choice is the chosen runner with the figures behind the choice.
type Choice struct {
	Runner inventory.Runner
	// Cost and NextCost are the costs of the chosen and of the second-best runner.
	// NextCost is infinite when there is no second one.
	Cost, NextCost float64
	// Uncached is the number of prompt tokens to be prefilled at the runner.
	Uncached int
	// Candidates counts the runners that could have been chosen.
	Candidates int
}

// NoRunnerError reports that no runner of a service is available.
type NoRunnerError struct {
	Service string
	// Known counts the runners of the service, including those that are leaving.
	Known int
	// PauseLeft is the time until the first runner wants requests again, or zero if
	// that is not why none is available.
	PauseLeft time.Duration
}

// Error implements error.
func (e *NoRunnerError) Error() string { return "no runner of service " + e.Service + " is available" }

// Choose returns the runner with the lowest cost and counts the request there.
// It fails with a *NoRunnerError. The caller must end the Ticket.
func (b *Balancer) Choose(request Request, now time.Time) (Choice, *Ticket, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	candidates, known := b.candidates(request, now)
	if len(candidates) == 0 {
		pauseLeft := b.servicePauseLeft(request.Service, now)
		return Choice{}, nil, &NoRunnerError{Service: request.Service, Known: known, PauseLeft: pauseLeft}
	}
	best := Choice{Cost: math.Inf(1), NextCost: math.Inf(1), Candidates: len(candidates)}
	var chosen *runner
	mean := meanFailureScore(candidates, now, b.options.FailureTimeConstant)
	preferred := preferredRunner(candidates, request.Prompt)
	for _, r := range candidates {
		uncached := r.uncached(request, r == preferred)
		cost := b.cost(r, request, uncached, mean, now)
		switch {
		case cost < best.Cost:
			best.NextCost = best.Cost
			best.Cost, best.Runner, best.Uncached, chosen = cost, r.entry, uncached, r
		case cost < best.NextCost:
			best.NextCost = cost
		}
	}
	return best, b.begin(chosen, request, best.Uncached, now), nil
}

// isZoneUnreachable reports whether the runner is in another zone that appears to
// be unreachable from this one.
func (b *Balancer) isZoneUnreachable(r *runner, now time.Time) bool {
	return r.entry.Zone != b.options.Zone && b.zoneOf(r.entry.Zone).isUnreachable(now)
}

// candidates returns the runners that may be chosen for a request. Runners that
// appear to be unreachable are returned only when there are no others.
func (b *Balancer) candidates(request Request, now time.Time) (usable []*runner, known int) {
	var down []*runner
	for _, r := range b.ordered {
		if r.entry.Service != request.Service {
			continue
		}
		known++
		if !r.isAvailable() || r.signals.pauseLeft(now) > 0 || slices.Contains(request.Excluded, r.entry.ID) {
			continue
		}
		if !b.isAllowed(r, request, now) {
			continue
		}
		if now.Before(r.downUntil) || b.isZoneUnreachable(r, now) {
			down = append(down, r)
			continue
		}
		usable = append(usable, r)
	}
	if len(usable) == 0 {
		return down, known
	}
	return usable, known
}

// costJitter is the relative random increase of a cost. It spreads the choices of
// daemons that see the same costs.
const costJitter = 0.05

func (b *Balancer) cost(r *runner, request Request, uncached int, meanScore float64, now time.Time) float64 {
	running, prefill := b.total(r, now)
	excess := max(r.decayedFailureScore(now, b.options.FailureTimeConstant)-meanScore, 0)
	var cost float64
	if request.PromptTokens == 0 {
		cost = float64(running) + b.options.FailureCostPlain*excess*excess
		if r.entry.Zone != b.options.Zone {
			cost += b.options.CrossZoneCostPlain
		}
	} else {
		cost = float64(prefill) + b.options.UncachedTokenCost*float64(uncached) +
			b.options.RunningRequestCost*float64(running) + b.options.FailureCostEngine*excess*excess
		if r.entry.Zone != b.options.Zone {
			cost += b.options.CrossZoneCostEngine
		}
	}
	return cost * (1 + costJitter*b.random.Float64())
}
