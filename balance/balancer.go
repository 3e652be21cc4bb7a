// Package balance chooses the runner of a request from what is known of the
// load, the health and the cached prompts of every runner. It has no input or
// output.
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

// Options weighs what speaks for and against a runner. The unit of costs is the
// prefill of one token.
type Options struct {
	// Zone is the daemon's own availability zone.
	Zone string
	// Uncached is the cost of a prompt token that the runner has to prefill
	// for this request, since others wait for it and it is paid for.
	Uncached float64
	// Running is the cost of a request that the runner works on.
	Running float64
	// OtherZone is the cost of another availability zone, for model engines
	// and in requests for plain services.
	OtherZone      float64
	OtherZonePlain float64
	// Failing is the cost of a runner all of whose requests fail, in requests
	// for plain services and in tokens for engines.
	Failing       float64
	FailingEngine float64
	// FailureMemory is the time after which a failure weighs 1/e.
	FailureMemory time.Duration
	// FirstDown and MostDown bound how long an unreachable runner is left out.
	FirstDown, MostDown time.Duration
	// CutRetry is how long a zone is left out whose runners do not answer.
	CutRetry time.Duration
	// PeerMemory is how long the loads that a peer told are used.
	PeerMemory time.Duration
	// Believed is told of changes of belief, with the balancer locked; it may be
	// nil.
	Believed func(Belief)
	// CacheShare is the part of a runner's memory that is taken to hold
	// prompts that were sent there.
	CacheShare float64
}

// DefaultOptions returns the defaults for a daemon in a zone.
func DefaultOptions(zone string) Options {
	return Options{
		Zone: zone, Uncached: 5, Running: 60, OtherZone: 2000, OtherZonePlain: 0.5,
		Failing: 20, FailingEngine: 60000, FailureMemory: 3 * time.Second,
		FirstDown: 500 * time.Millisecond, MostDown: 4 * time.Second, CutRetry: time.Second,
		PeerMemory: 3 * time.Second, CacheShare: 0.5,
	}
}

// Need is what a request asks of a runner.
type Need struct {
	Service string
	Prompt  []call.Part
	// PromptTokens is zero for plain services.
	PromptTokens int
	// Excluded are runners that have had the request.
	Excluded []string
}

// Load is what one daemon has at a runner.
type Load struct {
	Runner string
	// Running counts the requests without an end, and PrefillTokens those
	// tokens of them that are to be prefilled before their first event.
	Running       int
	PrefillTokens int
}

// Choice is a runner with what decided for it.
type Choice struct {
	Runner inventory.Runner
	// Cost is that of the runner, and NextCost that of the next best one,
	// which is infinite when there is none.
	Cost, NextCost float64
	// Uncached is the number of prompt tokens to be prefilled there.
	Uncached int
	// Candidates counts the runners that could have been chosen.
	Candidates int
}

// NoRunnerError says that no runner can take a request.
type NoRunnerError struct {
	Service string
	// Known counts the runners of the service, also those that are leaving.
	Known int
}

// Error implements error.
func (e *NoRunnerError) Error() string { return "no runner of " + e.Service + " takes requests" }

// peerLoads is what a peer told last.
type peerLoads struct {
	heard time.Time
	loads map[string]Load
}

// Balancer chooses runners. It is safe for use by several goroutines.
type Balancer struct {
	options Options

	mutex   sync.Mutex
	random  *rand.Rand
	runners map[string]*runner
	peers   map[string]peerLoads
	zones   map[string]*zone
	// ordered holds the runners by ID, so that choices do not depend on the order
	// of a map.
	ordered []*runner
}

// New returns a balancer without runners.
func New(options Options, random *rand.Rand) *Balancer {
	return &Balancer{
		options: options, random: random,
		runners: make(map[string]*runner), peers: make(map[string]peerLoads),
		zones: make(map[string]*zone),
	}
}

// SetRunners replaces the runners. What is known of those that stay is kept.
// cacheTokens returns the memory of an engine of a service, or zero.
func (b *Balancer) SetRunners(runners []inventory.Runner, cacheTokens func(service string) int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	next := make(map[string]*runner, len(runners))
	for _, entry := range runners {
		held := b.runners[entry.ID]
		if held == nil || !held.entry.SameStart(entry) {
			held = newRunner(entry)
		}
		held.entry = entry
		held.cache.resize(int(float64(cacheTokens(entry.Service)) * b.options.CacheShare))
		next[entry.ID] = held
	}
	b.runners = next
	b.ordered = slices.SortedFunc(maps.Values(next), func(x, y *runner) int { return cmp.Compare(x.entry.ID, y.entry.ID) })
}

// SetPeer replaces what a peer has at the runners.
func (b *Balancer) SetPeer(peer string, loads []Load, now time.Time) {
	byRunner := make(map[string]Load, len(loads))
	for _, load := range loads {
		byRunner[load.Runner] = load
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.peers[peer] = peerLoads{heard: now, loads: byRunner}
}

// Loads returns what this daemon has at the runners.
func (b *Balancer) Loads() []Load {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var loads []Load
	for _, r := range b.ordered {
		if r.running > 0 {
			loads = append(loads, Load{Runner: r.entry.ID, Running: r.running, PrefillTokens: r.prefill})
		}
	}
	return loads
}

// Choose returns the runner with the lowest cost and counts the request there.
// It fails with a *NoRunnerError. The Ticket must be ended once.
func (b *Balancer) Choose(need Need, now time.Time) (Choice, *Ticket, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	candidates, known := b.candidates(need, now)
	if len(candidates) == 0 {
		return Choice{}, nil, &NoRunnerError{Service: need.Service, Known: known}
	}
	best := Choice{Cost: math.Inf(1), NextCost: math.Inf(1), Candidates: len(candidates)}
	var chosen *runner
	mean := meanFailing(candidates, now, b.options.FailureMemory)
	preferred := preferredRunner(candidates, need.Prompt)
	for _, r := range candidates {
		uncached := r.uncached(need, r == preferred)
		cost := b.cost(r, need, uncached, mean, now)
		switch {
		case cost < best.Cost:
			best.NextCost = best.Cost
			best.Cost, best.Runner, best.Uncached, chosen = cost, r.entry, uncached, r
		case cost < best.NextCost:
			best.NextCost = cost
		}
	}
	return best, b.begin(chosen, need, best.Uncached), nil
}

// Return counts a request at a runner that it is sent back to. The ticket must be
// ended once.
func (b *Balancer) Return(id string) *Ticket {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r := b.runners[id]
	if r == nil {
		// The runner has left the inventory and is counted for nobody.
		r = newRunner(inventory.Runner{ID: id})
	}
	return b.begin(r, Need{}, 0)
}

// isCutOff reports whether the way to a runner of another zone seems to be cut.
func (b *Balancer) isCutOff(r *runner, now time.Time) bool {
	return r.entry.Zone != b.options.Zone && b.zoneOf(r.entry.Zone).isCut(now)
}

// candidates returns the runners that may take a request. Those that are left
// out as unreachable or cut off come in when there is no other.
func (b *Balancer) candidates(need Need, now time.Time) (usable []*runner, known int) {
	var down []*runner
	for _, r := range b.ordered {
		if r.entry.Service != need.Service {
			continue
		}
		known++
		if r.entry.State != inventory.Ready || r.isReplaced || slices.Contains(need.Excluded, r.entry.ID) {
			continue
		}
		if now.Before(r.downUntil) || b.isCutOff(r, now) {
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

// noise spreads the choices of daemons that see the same costs.
const noise = 0.05

func (b *Balancer) cost(r *runner, need Need, uncached int, meanFailing float64, now time.Time) float64 {
	running, prefill := b.total(r, now)
	excess := max(r.failing(now, b.options.FailureMemory)-meanFailing, 0)
	var cost float64
	if need.PromptTokens == 0 {
		cost = float64(running) + b.options.Failing*excess*excess
		if r.entry.Zone != b.options.Zone {
			cost += b.options.OtherZonePlain
		}
	} else {
		cost = float64(prefill) + b.options.Uncached*float64(uncached) +
			b.options.Running*float64(running) + b.options.FailingEngine*excess*excess
		if r.entry.Zone != b.options.Zone {
			cost += b.options.OtherZone
		}
	}
	return cost * (1 + noise*b.random.Float64())
}

// total returns what all daemons have at a runner.
func (b *Balancer) total(r *runner, now time.Time) (running, prefill int) {
	running, prefill = r.running, r.prefill
	for _, peer := range b.peers {
		if now.Sub(peer.heard) > b.options.PeerMemory {
			continue
		}
		load := peer.loads[r.entry.ID]
		running += load.Running
		prefill += load.PrefillTokens
	}
	return running, prefill
}

// ServiceLoad is what is known of the load of a service.
type ServiceLoad struct {
	// Requests are those that all daemons have at its runners.
	Requests int
	// Runners take requests; Slots is the sum of theirs.
	Runners, Slots int
}

// Load returns the load of a service.
func (b *Balancer) Load(service string, now time.Time) ServiceLoad {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var load ServiceLoad
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
