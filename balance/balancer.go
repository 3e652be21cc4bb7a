// Package balance chooses the runner of a request by the load, the health and
// the cached prompts of every runner. It performs no I/O.
package balance

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cranberrywalk/cranberrywalk/capacity"
	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/runnerlimit"
)

// Balancer chooses runners. It is safe for use by several goroutines.
type Balancer struct {
	options Options

	mutex   sync.Mutex
	random  *rand.Rand
	runners map[string]*runner
	peers   peerReports
	zones   map[string]*zone
	// services holds what is known of each service that was asked for.
	services map[string]*service
	// starts counts the requests that this daemon has sent to runners, by service.
	starts map[string]uint64
	// arrivals counts the requests that have arrived at this daemon, by service. Its keys are among
	// those of starts.
	arrivals map[string]uint64
	// daemons knows which daemons share the limits of runners.
	daemons *runnerlimit.Daemons
	// turns holds for each service when the next request that is refused for limits may come
	// back.
	turns map[string]time.Time
	// signals holds what runners have said of themselves, including those that were
	// removed: a record that is read late may bring one of them back.
	signals *simplelru.LRU[inventory.Incarnation, *signals]
	// learner learns from answers what runners carry.
	learner *capacity.Learner
	// weighted is reused for the candidates of a choice.
	weighted []weightedRunner
	// ordered holds the runners sorted by ID, since map iteration order would
	// make choices nondeterministic.
	ordered []*runner
}

// New returns a balancer without runners.
func New(options Options, random *rand.Rand) *Balancer {
	return &Balancer{
		options: options, random: random,
		runners: make(map[string]*runner), peers: newPeerReports(options.PeerLoadTTL),
		zones: make(map[string]*zone), services: make(map[string]*service), starts: make(map[string]uint64), arrivals: make(map[string]uint64), signals: newSignalsCache(),
		daemons: runnerlimit.NewDaemons(runnerlimit.DefaultOptions(), options.Daemon), turns: make(map[string]time.Time),
		learner: capacity.NewLearner(capacity.Options{
			OnChange: options.OnCapacityChange, OnlyWithPace: options.CapacityOnlyWithPace,
		}),
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
			r = newRunner(entry, b.signalsOf(entry.Incarnation()))
			r.learned = b.learner.Runner(entry.Service, entry.ID, entry.Incarnation().Hash())
		}
		r.entry = entry
		r.cache.resize(int(float64(cacheTokens(entry.Service)) * b.options.CacheFraction))
		next[entry.ID] = r
	}
	b.runners = next
	b.forgetRemoved()
	b.ordered = slices.SortedFunc(maps.Values(next), func(x, y *runner) int { return cmp.Compare(x.entry.ID, y.entry.ID) })
}

// Peer is another daemon.
type Peer struct {
	runnerlimit.Daemon
	// Stopping is true once it is about to stop.
	Stopping bool
}

// SetPeer replaces the report of another daemon, which it made at a time. It returns the
// runners of which it is news that they are leaving.
func (b *Balancer) SetPeer(peer Peer, report Report, madeAt time.Time) []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.peers.set(peer.Daemon, report, madeAt)
	b.daemons.Hear(runnerlimit.Report{Daemon: peer.Daemon, Stopping: peer.Stopping, Demands: report.Demands}, madeAt)
	b.applyLimitReports(report.Limits, madeAt)
	b.learner.Merge(peer.Name+"/"+peer.Incarnation, report.Capacity, madeAt)
	var leaving []string
	for _, incarnation := range report.Leaving {
		if b.markLeaving(incarnation) {
			leaving = append(leaving, incarnation.ID)
		}
	}
	return leaving
}

// Stop ends this daemon's share of the limits of runners, since it is about to stop.
func (b *Balancer) Stop() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.daemons.Stop()
}

// Report returns this daemon's report for the others. toNew is true for one that has just
// started, which is told more.
func (b *Balancer) Report(toNew bool, now time.Time) Report {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	report := Report{Demands: b.daemons.Demands(), Limits: b.limitReports(toNew, now), Capacity: b.learner.Report(now)}
	for _, r := range b.ordered {
		if r.running > 0 {
			report.Loads = append(report.Loads, Load{Runner: r.entry.ID, Running: r.running, PrefillTokens: r.prefillTokens})
		}
		if r.signals.isLeaving && r.entry.State == inventory.Ready {
			report.Leaving = append(report.Leaving, r.entry.Incarnation())
		}
	}
	for _, service := range slices.Sorted(maps.Keys(b.starts)) {
		report.Starts = append(report.Starts, ServiceStarts{Service: service, Count: b.starts[service], Arrived: b.arrivals[service]})
	}
	return report
}

// Acquire counts a request at the given runner without choosing, for a request that
// continues at a runner chosen earlier. A runner that is leaving is counted too, since a
// run that it has stopped can be continued from its memory only there. It fails with a
// *PausedError or a *LimitReachedError. The caller must end the Ticket.
func (b *Balancer) Acquire(entry inventory.Runner, now time.Time) (*Ticket, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.signalsOf(entry.Incarnation())
	if left := s.pauseLeft(now); left > 0 {
		return nil, &PausedError{Runner: entry.ID, Left: left}
	}
	r := b.runners[entry.ID]
	if r == nil || r.signals != s {
		// The incarnation was removed from the inventory: the request is counted at a
		// placeholder that is never chosen or reported.
		r = newRunner(inventory.Runner{ID: entry.ID}, s)
	}
	if !b.refreshLimit(s, entry, now).MayOverdraw() {
		return nil, &LimitReachedError{Runner: entry.ID, PerSecond: s.limit.Statement().PerSecond}
	}
	return b.begin(r, Request{}, 0, now), nil
}
