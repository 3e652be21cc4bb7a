package daemon

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/peer"
	"github.com/cranberrywalk/cranberrywalk/peer/gossip"
	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/roster"
	"github.com/cranberrywalk/cranberrywalk/route"
)

// flightKey names an attempt: a request is at a backend server at most once
// at a time.
type flightKey struct {
	request string
	backend string
}

// attempt is what the chooser remembers of an attempt until it ends.
type attempt struct {
	call     route.Call
	decision route.Decision
	flight   route.Flight
	begun    bool
}

// chooser implements dispatch.Chooser with the routing policies, on the
// backend servers of the roster.
type chooser struct {
	region   string
	zone     string
	keeper   *keeper
	models   route.Policy
	services route.Policy

	// mu guards what follows.
	mu   sync.Mutex
	view *route.View
	// addresses holds the addresses of the runners in the view.
	addresses map[string]string
	attempts  map[flightKey]*attempt
	// loads holds what each peer last reported about each backend server.
	loads map[string]map[string]peer.BackendLoad
}

var (
	_ dispatch.Chooser            = (*chooser)(nil)
	_ dispatch.FirstTokenObserver = (*chooser)(nil)
)

func newChooser(region, zone string, zoneDelay time.Duration, keeper *keeper) *chooser {
	options := route.DefaultOptions(zone)
	options.ZoneDelay = 2 * zoneDelay
	return &chooser{
		region:    region,
		zone:      zone,
		keeper:    keeper,
		models:    route.NewScore(),
		services:  route.LeastInFlight{},
		view:      route.NewView(options),
		addresses: make(map[string]string),
		attempts:  make(map[flightKey]*attempt),
		loads:     make(map[string]map[string]peer.BackendLoad),
	}
}

// setMembers takes over the backend servers of the roster.
func (c *chooser) setMembers(members []roster.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.addresses)
	var runners []route.Runner
	for _, member := range members {
		if member.VM.Region != c.region || member.VM.Address == "" {
			continue
		}
		c.addresses[member.VM.Name] = member.VM.Address
		runners = append(runners, newRunner(member))
	}
	c.view.SetRunners(runners)
}

func newRunner(member roster.Member) route.Runner {
	return route.Runner{
		Name:        member.VM.Name,
		Zone:        member.VM.Zone,
		Class:       member.VM.Class,
		Price:       member.VM.Price,
		Reclaimable: member.VM.Reclaimable,
		Leaving:     member.State == roster.Leaving,
		Models:      member.VM.Models,
		Service:     member.VM.Service,
	}
}

// Choose implements dispatch.Chooser.
func (c *chooser) Choose(r request.Request, excluded []string, now time.Time) (dispatch.Target, error) {
	members := c.keeper.Roster()
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.newCall(r, excluded, members, now)
	policy := c.models
	if !r.IsModelCall() {
		policy = c.services
	}
	decision, err := policy.Choose(&call, c.view, now)
	if err != nil {
		return dispatch.Target{}, translate(r, err)
	}
	runner := c.view.Runner(decision)
	c.attempts[flightKey{request: r.ID, backend: runner.Name}] = &attempt{call: call, decision: decision}
	return dispatch.Target{Name: runner.Name, Zone: runner.Zone, Address: c.addresses[runner.Name]}, nil
}

func (c *chooser) newCall(r request.Request, excluded []string, members roster.Roster, now time.Time) route.Call {
	return route.Call{
		PromptTokens:    r.PromptTokens,
		Blocks:          r.Blocks,
		MaxTokens:       r.MaxTokens,
		FirstToken:      r.FirstToken,
		BetweenTokens:   r.BetweenTokens,
		CostWeight:      r.CostWeight,
		RecomputeWeight: r.RecomputeWeight,
		Priority:        r.Priority,
		Zone:            c.zone,
		Allowed: func(runner *route.Runner) bool {
			return serves(runner, r) && r.Allowance.AllowsVM(runner.Zone, runner.Class) &&
				!slices.Contains(excluded, runner.Name) && members.IsUsable(runner.Name, now)
		},
	}
}

func serves(runner *route.Runner, r request.Request) bool {
	if r.IsModelCall() {
		return slices.Contains(runner.Models, r.Model)
	}
	return runner.Service == r.Service
}

// translate turns the errors of routing into those of dispatching.
func translate(r request.Request, err error) error {
	var overload *route.OverloadError
	if errors.As(err, &overload) {
		return &dispatch.OverloadError{Target: r.Target(), RetryAfter: overload.RetryAfter}
	}
	return &dispatch.NoBackendError{Target: r.Target(), Reason: err.Error()}
}

// Began implements dispatch.Chooser.
func (c *chooser) Began(target dispatch.Target, r request.Request) {
	now := c.keeper.Clock.Now()
	if c.keeper.Roster().Member(target.Name).State == roster.Suspected {
		c.keeper.apply(roster.Probed{VM: target.Name})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a, known := c.attempts[flightKey{request: r.ID, backend: target.Name}]
	if !known || a.begun {
		return
	}
	a.begun = true
	a.flight = c.view.Began(&a.call, a.decision, now)
}

// FirstToken implements dispatch.FirstTokenObserver.
func (c *chooser) FirstToken(target dispatch.Target, r request.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, known := c.attempts[flightKey{request: r.ID, backend: target.Name}]; known && a.begun {
		c.view.FirstToken(&a.flight)
	}
}

// Ended implements dispatch.Chooser.
func (c *chooser) Ended(target dispatch.Target, r request.Request, seen dispatch.Observation) {
	c.endFlight(target, r, seen)
	if event := judge(target.Name, seen); event != nil {
		c.keeper.apply(event)
	}
}

func (c *chooser) endFlight(target dispatch.Target, r request.Request, seen dispatch.Observation) {
	now := c.keeper.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	key := flightKey{request: r.ID, backend: target.Name}
	a, known := c.attempts[key]
	if !known {
		return
	}
	delete(c.attempts, key)
	if !a.begun {
		return
	}
	if seen.PromptTokens > 0 {
		c.view.Usage(&a.flight, &a.call, a.decision, seen.CachedTokens)
	}
	c.view.Ended(&a.flight, now)
}

// ownLoads returns the load that this daemon puts on the backend servers.
func (c *chooser) ownLoads(daemon string, now time.Time) []peer.BackendLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetSilent(now)
	report := c.view.Report(daemon, now)
	loads := make([]peer.BackendLoad, 0, len(report.Loads))
	for _, load := range report.Loads {
		loads = append(loads, peer.BackendLoad{
			Backend: load.Runner, InFlight: load.InFlight, QueuedTokens: load.QueuedTokens,
			PrefillRate: int(load.PrefillTokensPerSecond),
		})
	}
	return loads
}

// mergeLoads takes over what is new in the reports of peers.
func (c *chooser) mergeLoads(news []peer.BackendLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := make(map[string]uint64)
	for _, load := range news {
		if c.loads[load.Reporter] == nil {
			c.loads[load.Reporter] = make(map[string]peer.BackendLoad)
		}
		c.loads[load.Reporter][load.Backend] = load
		changed[load.Reporter] = max(changed[load.Reporter], load.Version)
	}
	for reporter, version := range changed {
		c.view.Digest(newDigest(reporter, version, c.loads[reporter]))
	}
}

// silentAfter is the age of a daemon's newest load above which the daemon is
// taken to have ended: a load is repeated more often than that.
const silentAfter = gossip.RefreshInterval + 5*time.Second

// forgetSilent drops the loads of daemons that have ended without a word.
func (c *chooser) forgetSilent(now time.Time) {
	for reporter, loads := range c.loads {
		var newest uint64
		for _, load := range loads {
			newest = max(newest, load.Version)
		}
		if now.Sub(time.UnixMilli(int64(newest))) > silentAfter {
			delete(c.loads, reporter)
			c.view.ForgetPeer(reporter)
		}
	}
}

func newDigest(reporter string, version uint64, loads map[string]peer.BackendLoad) route.Digest {
	digest := route.Digest{Daemon: reporter, Time: time.UnixMilli(int64(version))}
	for _, load := range loads {
		digest.Loads = append(digest.Loads, route.Load{
			Runner: load.Backend, InFlight: load.InFlight, QueuedTokens: load.QueuedTokens,
			PrefillTokensPerSecond: float64(load.PrefillRate),
		})
	}
	return digest
}

// forgetPeers drops the loads of daemons that have left.
func (c *chooser) forgetPeers(listed []platform.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for reporter := range c.loads {
		if !slices.ContainsFunc(listed, func(vm platform.VM) bool { return vm.Name == reporter }) {
			delete(c.loads, reporter)
			c.view.ForgetPeer(reporter)
		}
	}
}
