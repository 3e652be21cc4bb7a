package measure

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/route"
)

// simulation is one run of a tenant's workload in a scenario.
type simulation struct {
	loop     loop
	tenant   Tenant
	scenario Scenario
	source   source
	// rate returns the calls a second at a time.
	rate     func(now time.Duration) float64
	arrivals *rand.Rand
	faults   *rand.Rand
	balancer balancer
	daemons  []*daemon
	engines  []*engine
	// byName finds the engine of a decision.
	byName map[string]*engine
	// active are the calls in flight.
	active []*call
	// calls are all calls in the order of arrival.
	calls []*call
	// moved counts the calls that were resumed at another runner.
	moved int
	// onEnd is called with every call that is answered or refused; it may be
	// nil.
	onEnd func(c *call)
}

// epoch is the time of the clock at the start of a run.
var epoch = time.Date(2026, 1, 5, 5, 0, 0, 0, time.UTC)

// newSimulation returns a run that has not started.
func newSimulation(t Tenant, sc Scenario, policy route.Policy, seed uint64, rate func(time.Duration) float64) *simulation {
	s := &simulation{
		tenant:   t,
		scenario: sc,
		source:   t.source(random(seed, 1)),
		rate:     rate,
		arrivals: random(seed, 2),
		faults:   random(seed, 3),
		balancer: balancer{random: random(seed, 4)},
		byName:   map[string]*engine{},
	}
	runners := t.runners()
	for _, runner := range runners {
		e := newEngine(&s.loop, runner, t.speed)
		e.onFirst, e.onEnd = s.firstToken, s.end
		s.engines = append(s.engines, e)
		s.byName[runner.Name] = e
	}
	for i := range daemons {
		s.daemons = append(s.daemons, newDaemon(t, i, policy, runners))
	}
	return s
}

// random returns the generator of one stream of a seed.
func random(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// run runs the simulation up to end.
func (s *simulation) run(end time.Duration) {
	s.startDigests()
	s.startEvents()
	s.startFaults()
	s.arrive()
	s.loop.runUntil(end)
}

// time returns the time of the clock.
func (s *simulation) time() time.Time { return epoch.Add(s.loop.now) }

// arrive plans the next call.
func (s *simulation) arrive() {
	wait := exponential(s.arrivals, s.rate(s.loop.now))
	s.loop.after(time.Duration(wait*float64(time.Second)), func() {
		s.submit(s.source.next())
		s.arrive()
	})
}

// submit lets a call come from a client to one of the daemons.
func (s *simulation) submit(c *call) {
	c.arrived = s.loop.now
	c.prompt = c.route.PromptTokens
	c.daemon = s.balancer.pick(s.daemons)
	c.route.Zone = c.daemon.zone
	s.tenant.weigh(&c.route)
	s.calls = append(s.calls, c)
	s.loop.after(clientDelay, func() { s.send(c) })
}

// send chooses a runner for a call and sends it there.
func (s *simulation) send(c *call) {
	decision, err := c.daemon.policy.Choose(&c.route, c.daemon.view, s.time())
	if err != nil {
		s.refuse(c, err)
		return
	}
	c.decision = decision
	c.flight = c.daemon.view.Began(&c.route, decision, s.time())
	if !slices.Contains(s.active, c) {
		s.active = append(s.active, c)
	}
	e := s.byName[decision.Runner]
	c.engine = e
	s.loop.after(s.delay(c), func() {
		if c.engine == e && !e.accept(c) {
			c.daemon.view.Ended(&c.flight, s.time())
			s.send(c)
		}
	})
}

// refuse ends a call that found no runner.
func (s *simulation) refuse(c *call, err error) {
	c.refused = true
	var overload *route.OverloadError
	if errors.As(err, &overload) {
		c.retryAfter = overload.RetryAfter
	}
	s.remove(c)
	if s.onEnd != nil {
		s.onEnd(c)
	}
}

// delay returns the network time between the call's daemon and runner.
func (s *simulation) delay(c *call) time.Duration {
	if c.engine.info.Zone == c.daemon.zone {
		return 0
	}
	return s.tenant.ZoneDelay
}

// firstToken notes the first token of a call after its way to the client.
func (s *simulation) firstToken(c *call) {
	delay := s.delay(c)
	if c.first == 0 {
		c.first = s.loop.now + delay + clientDelay
	}
	moves := c.moves
	s.loop.after(delay, func() {
		if c.moves != moves {
			return
		}
		c.daemon.view.FirstToken(&c.flight)
		c.daemon.view.Usage(&c.flight, &c.route, c.decision, c.route.PromptTokens-c.uncached)
	})
}

// end notes the last token of a call after its way to the client.
func (s *simulation) end(c *call) {
	delay := s.delay(c)
	c.ended = s.loop.now + delay + clientDelay
	c.engine = nil
	s.remove(c)
	s.loop.after(delay, func() { c.daemon.view.Ended(&c.flight, s.time()) })
	if s.onEnd != nil {
		s.onEnd(c)
	}
}

// remove takes a call off the calls in flight.
func (s *simulation) remove(c *call) {
	if at := slices.Index(s.active, c); at >= 0 {
		s.active = slices.Delete(s.active, at, at+1)
	}
}
