// Package balance chooses the runner of a request by the load, the health and
// the cached prompts of every runner. It performs no I/O.
package balance

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/inventory"
)

// Options are the settings of a Balancer. The unit of costs is the prefill of one
// token for model engines and one running request for plain services.
type Options struct {
	// Zone is the daemon's own availability zone.
	Zone string
	// UncachedTokenCost is the cost of each prompt token that the runner would
	// have to prefill for this request. It exceeds 1 because other requests wait
	// for the prefill and its computing time is paid for.
	UncachedTokenCost float64
	// RunningRequestCost is the cost of each request in progress at an engine.
	RunningRequestCost float64
	// CrossZoneCostEngine and CrossZoneCostPlain are the costs of a runner in
	// another availability zone.
	CrossZoneCostEngine float64
	CrossZoneCostPlain  float64
	// FailureCostPlain and FailureCostEngine are the costs of a runner all of
	// whose requests fail.
	FailureCostPlain  float64
	FailureCostEngine float64
	// FailureTimeConstant is the time in which the weight of a failure decays
	// to 1/e.
	FailureTimeConstant time.Duration
	// InitialBackoff and MaxBackoff bound how long an unreachable runner is
	// avoided.
	InitialBackoff, MaxBackoff time.Duration
	// ZoneRetryInterval is how long an unreachable zone is avoided.
	ZoneRetryInterval time.Duration
	// PeerLoadTTL is how long the loads that a peer reported are used.
	PeerLoadTTL time.Duration
	// OnHealthChange is called on each change in the health of a runner or zone, with
	// the balancer locked; it may be nil.
	OnHealthChange func(HealthChange)
	// CacheFraction is the fraction of a runner's cache that is assumed to hold
	// prompts sent by this daemon.
	CacheFraction float64
}

// DefaultOptions returns the defaults for a daemon in a zone.
func DefaultOptions(zone string) Options {
	return Options{
		Zone: zone, UncachedTokenCost: 5, RunningRequestCost: 60, CrossZoneCostEngine: 2000, CrossZoneCostPlain: 0.5,
		FailureCostPlain: 20, FailureCostEngine: 60000, FailureTimeConstant: 3 * time.Second,
		InitialBackoff: 500 * time.Millisecond, MaxBackoff: 4 * time.Second, ZoneRetryInterval: time.Second,
		PeerLoadTTL: 3 * time.Second, CacheFraction: 0.5,
	}
}

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

// Load is the load that one daemon puts on a runner.
type Load struct {
	Runner string
	// Running counts the requests in progress. PrefillTokens counts the prompt
	// tokens still to be prefilled for those without a first event.
	Running       int
	PrefillTokens int
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
}

// Error implements error.
func (e *NoRunnerError) Error() string { return "no runner of service " + e.Service + " is available" }

// Balancer chooses runners. It is safe for use by several goroutines.
type Balancer struct {
	options Options

	mutex   sync.Mutex
	random  *rand.Rand
	runners map[string]*runner
	peers   peerReports
	zones   map[string]*zone
	// starts counts the requests that this daemon has sent to runners, by service.
	starts map[string]uint64
	// ordered holds the runners sorted by ID, since map iteration order would
	// make choices nondeterministic.
	ordered []*runner
}

// New returns a balancer without runners.
func New(options Options, random *rand.Rand) *Balancer {
	return &Balancer{
		options: options, random: random,
		runners: make(map[string]*runner), peers: newPeerReports(options.PeerLoadTTL),
		zones: make(map[string]*zone), starts: make(map[string]uint64),
	}
}

// SetRunners replaces the runners and keeps the state of those that remain.
// cacheTokens returns the cache capacity of a service's engine in tokens, or zero for
// a service without an engine.
func (b *Balancer) SetRunners(runners []inventory.Runner, cacheTokens func(service string) int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	next := make(map[string]*runner, len(runners))
	for _, entry := range runners {
		r := b.runners[entry.ID]
		if r == nil || !r.entry.SameIncarnation(entry) {
			r = newRunner(entry)
		}
		r.entry = entry
		r.cache.resize(int(float64(cacheTokens(entry.Service)) * b.options.CacheFraction))
		next[entry.ID] = r
	}
	b.runners = next
	b.ordered = slices.SortedFunc(maps.Values(next), func(x, y *runner) int { return cmp.Compare(x.entry.ID, y.entry.ID) })
}

// SetPeer replaces the report of a peer.
func (b *Balancer) SetPeer(peer string, report Report, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.peers.set(peer, report, now)
}

// Report returns this daemon's report for its peers.
func (b *Balancer) Report() Report {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var report Report
	for _, r := range b.ordered {
		if r.running > 0 {
			report.Loads = append(report.Loads, Load{Runner: r.entry.ID, Running: r.running, PrefillTokens: r.prefillTokens})
		}
	}
	for _, service := range slices.Sorted(maps.Keys(b.starts)) {
		report.Starts = append(report.Starts, ServiceStarts{Service: service, Count: b.starts[service]})
	}
	return report
}

// Choose returns the runner with the lowest cost and counts the request there.
// It fails with a *NoRunnerError. The caller must end the Ticket.
func (b *Balancer) Choose(request Request, now time.Time) (Choice, *Ticket, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	candidates, known := b.candidates(request, now)
	if len(candidates) == 0 {
		return Choice{}, nil, &NoRunnerError{Service: request.Service, Known: known}
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
	return best, b.begin(chosen, request, best.Uncached), nil
}

// Acquire counts a request at the given runner without choosing, for a request that
// continues at a runner chosen earlier. The caller must end the Ticket.
func (b *Balancer) Acquire(id string) *Ticket {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r := b.runners[id]
	if r == nil {
		// The runner was removed from the inventory: the request is counted at a
		// placeholder that is never chosen or reported.
		r = newRunner(inventory.Runner{ID: id})
	}
	return b.begin(r, Request{}, 0)
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
		if r.entry.State != inventory.Ready || r.isReplaced || slices.Contains(request.Excluded, r.entry.ID) || !b.isAllowed(r, request, now) {
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

// total returns the load that all daemons put on a runner.
func (b *Balancer) total(r *runner, now time.Time) (running, prefill int) {
	peers := b.peers.load(r.entry.ID, now)
	return r.running + peers.Running, r.prefillTokens + peers.PrefillTokens
}

// ServiceLoad is the load of a service over all daemons.
type ServiceLoad struct {
	// Requests counts the requests in progress at its available runners.
	Requests int
	// Runners counts the available runners, and Slots the sum of their slots.
	Runners, Slots int
	// Started is the number of requests that were sent to its runners by the daemons
	// that are heard. It falls when one of them restarts or is no longer heard.
	Started uint64
}

// Load returns the load of a service.
func (b *Balancer) Load(service string, now time.Time) ServiceLoad {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	load := ServiceLoad{Started: b.starts[service] + b.peers.starts(service, now)}
	for _, r := range b.ordered {
		if r.entry.Service != service || r.entry.State != inventory.Ready || r.isReplaced || now.Before(r.downUntil) {
			continue
		}
		requests, _ := b.total(r, now)
		load.Requests += requests
		load.Slots += r.entry.Slots
		load.Runners++
	}
	return load
}
