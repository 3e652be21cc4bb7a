package daemon

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/peer"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/roster"
	"github.com/cranberrywalk/cranberrywalk/route"
	"github.com/cranberrywalk/cranberrywalk/settings"
)

// attemptKey identifies an attempt: a request has at most one attempt at a time at
// a backend server.
type attemptKey struct {
	request string
	backend string
}

// attempt is the state of an attempt from its choice to its end.
type attempt struct {
	pool     *pool
	call     route.Call
	decision route.Decision
	flight   route.Flight
	started  bool
}

// pool holds the backend servers of one kind and the policy that chooses among
// them.
type pool struct {
	view   *route.View
	policy route.Policy
}

// chooser implements dispatch.Chooser by applying the routing policies to the
// backend servers of the roster.
type chooser struct {
	region        string
	zone          string
	rosterWatcher *rosterWatcher

	// mu guards what follows.
	mu       sync.Mutex
	runners  pool
	services pool
	// addresses holds the addresses of the backend servers by VM name.
	addresses map[string]string
	attempts  map[attemptKey]*attempt
	// loads holds the last report of each peer about each backend server.
	loads map[string]map[string]peer.BackendLoad
}

var (
	_ dispatch.Chooser            = (*chooser)(nil)
	_ dispatch.FirstTokenObserver = (*chooser)(nil)
)

func newChooser(s settings.Settings, watcher *rosterWatcher) *chooser {
	return &chooser{
		region:        s.Daemon.Region,
		zone:          s.Daemon.Zone,
		rosterWatcher: watcher,
		runners:       newPool(s, route.DefaultOptions(s.Daemon.Zone), route.NewScore()),
		services:      newPool(s, serviceOptions(s), route.NewServiceScore()),
		addresses:     make(map[string]string),
		attempts:      make(map[attemptKey]*attempt),
		loads:         make(map[string]map[string]peer.BackendLoad),
	}
}

func serviceOptions(s settings.Settings) route.Options {
	return route.ServiceOptions(s.Daemon.Zone, s.Routing.ServiceTime, s.Routing.ServiceParallel)
}

func newPool(s settings.Settings, options route.Options, policy route.Policy) pool {
	options.Daemon = s.Daemon.Name
	options.ZoneDelay = 2 * s.Routing.ZoneDelay
	return pool{view: route.NewView(options), policy: policy}
}

// pools returns the pools of both kinds of backend servers.
func (c *chooser) pools() []*pool { return []*pool{&c.runners, &c.services} }

func (c *chooser) poolOf(r request.Request) *pool {
	if r.IsModelCall() {
		return &c.runners
	}
	return &c.services
}

// setMembers updates the pools with the backend servers of the roster.
func (c *chooser) setMembers(members []roster.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.addresses)
	var runners, services []route.Runner
	for _, member := range members {
		if member.VM.Region != c.region || member.VM.Address == "" {
			continue
		}
		c.addresses[member.VM.Name] = member.VM.Address
		if member.VM.Role == hosting.RoleService {
			services = append(services, newRunner(member))
			continue
		}
		runners = append(runners, newRunner(member))
	}
	c.runners.view.SetRunners(runners)
	c.services.view.SetRunners(services)
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
	members := c.rosterWatcher.Roster()
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.newCall(r, excluded, members, now)
	pool := c.poolOf(r)
	decision, err := pool.policy.Choose(&call, pool.view, now)
	if err != nil {
		return dispatch.Target{}, dispatchError(r, err)
	}
	runner := pool.view.Runner(decision)
	c.attempts[attemptKey{request: r.ID, backend: runner.Name}] = &attempt{pool: pool, call: call, decision: decision}
	return dispatch.Target{Name: runner.Name, Zone: runner.Zone, Address: c.addresses[runner.Name]}, nil
}

func (c *chooser) newCall(r request.Request, excluded []string, members roster.Roster, now time.Time) route.Call {
	return route.Call{
		PromptTokens:    r.PromptTokens,
		Blocks:          r.Blocks,
		MaxTokens:       r.MaxTokens,
		FirstToken:      r.FirstToken,
		BetweenTokens:   betweenTokens(r),
		CostWeight:      r.CostWeight,
		RecomputeWeight: r.RecomputeWeight,
		Priority:        r.Priority,
		Resumed:         len(excluded) > 0,
		Zone:            c.zone,
		Allowed: func(runner *route.Runner) bool {
			return serves(runner, r) && !slices.Contains(r.AvoidedZones, runner.Zone) && r.Allowance.AllowsVM(runner.Zone, runner.Class) &&
				!slices.Contains(excluded, runner.Name) && members.IsUsable(runner.Name, now)
		},
	}
}

// betweenTokens returns the latency target for one step of the backend server. A
// plain service answers in a single step, its whole response, to which the target
// for the first token applies.
func betweenTokens(r request.Request) time.Duration {
	if r.IsModelCall() {
		return r.BetweenTokens
	}
	return r.FirstToken
}

func serves(runner *route.Runner, r request.Request) bool {
	if r.IsModelCall() {
		return slices.Contains(runner.Models, r.Model)
	}
	return runner.Service == r.Service
}

// dispatchError converts an error of route into one of dispatch.
func dispatchError(r request.Request, err error) error {
	var overload *route.OverloadError
	if errors.As(err, &overload) {
		return &dispatch.OverloadError{Target: r.Target(), RetryAfter: overload.RetryAfter}
	}
	return &dispatch.NoBackendError{Target: r.Target(), Reason: err.Error()}
}

// AttemptStarted implements dispatch.Chooser.
func (c *chooser) AttemptStarted(target dispatch.Target, r request.Request) {
	now := c.rosterWatcher.Clock.Now()
	if c.rosterWatcher.Roster().Member(target.Name).State == roster.Suspected {
		c.rosterWatcher.apply(roster.Probed{VM: target.Name})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a, known := c.attempts[attemptKey{request: r.ID, backend: target.Name}]
	if !known || a.started {
		return
	}
	a.started = true
	a.flight = a.pool.view.RecordStart(&a.call, a.decision, now)
}

// FirstToken implements dispatch.FirstTokenObserver.
func (c *chooser) FirstToken(target dispatch.Target, r request.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, known := c.attempts[attemptKey{request: r.ID, backend: target.Name}]; known && a.started {
		a.pool.view.RecordFirstToken(&a.flight)
	}
}

// AttemptEnded implements dispatch.Chooser.
func (c *chooser) AttemptEnded(target dispatch.Target, r request.Request, observation dispatch.Observation) {
	c.endAttempt(target, r, observation)
	if event := rosterEvent(target.Name, observation); event != nil {
		c.rosterWatcher.apply(event)
	}
}

func (c *chooser) endAttempt(target dispatch.Target, r request.Request, observation dispatch.Observation) {
	now := c.rosterWatcher.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	key := attemptKey{request: r.ID, backend: target.Name}
	a, known := c.attempts[key]
	if !known {
		return
	}
	delete(c.attempts, key)
	if !a.started {
		return
	}
	if observation.PromptTokens > 0 {
		a.pool.view.RecordUsage(&a.flight, &a.call, a.decision, observation.CachedTokens)
	}
	a.pool.view.RecordEnd(&a.flight, now)
}
