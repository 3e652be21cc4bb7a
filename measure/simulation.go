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
	loop     eventLoop
	tenant   Tenant
	scenario Scenario
	source   source
	// rate returns the arrival rate in calls per second at a time.
	rate         func(now time.Duration) float64
	arrivals     *rand.Rand
	faults       *rand.Rand
	balancer     balancer
	daemons      []*daemon
	engines      []*engine
	engineByName map[string]*engine
	inFlight     []*call
	// calls holds all calls in the order of arrival.
	calls []*call
	// movedCalls counts how often calls were resumed on another runner.
	movedCalls int
	// onEnd is called with every call that was answered or refused; it may be nil.
	onEnd func(c *call)
}

// epoch is the simulated time at the start of a run.
var epoch = time.Date(2026, 1, 5, 5, 0, 0, 0, time.UTC)

// newSimulation returns a simulation that has not started.
func newSimulation(t Tenant, sc Scenario, policy route.Policy, seed uint64, rate func(time.Duration) float64) *simulation {
	s := &simulation{
		tenant:       t,
		scenario:     sc,
		source:       t.source(newRandom(seed, 1)),
		rate:         rate,
		arrivals:     newRandom(seed, 2),
		faults:       newRandom(seed, 3),
		balancer:     balancer{random: newRandom(seed, 4)},
		engineByName: map[string]*engine{},
	}
	runners := t.runners()
	for _, runner := range runners {
		e := newEngine(&s.loop, runner, t.speed)
		e.onFirstToken, e.onEnd = s.handleFirstToken, s.handleEnd
		s.engines = append(s.engines, e)
		s.engineByName[runner.Name] = e
	}
	for i := range daemonCount {
		s.daemons = append(s.daemons, newDaemon(t, i, policy, runners))
	}
	return s
}

// newRandom returns the random number generator for one stream of a seed.
func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// run runs the simulation up to end.
func (s *simulation) run(end time.Duration) {
	s.startDigests()
	s.startEvents()
	s.startFaults()
	s.scheduleArrival()
	s.loop.runUntil(end)
}

// now returns the simulated time.
func (s *simulation) now() time.Time { return epoch.Add(s.loop.now) }

// scheduleArrival schedules the next call of the workload.
func (s *simulation) scheduleArrival() {
	wait := exponential(s.arrivals, s.rate(s.loop.now))
	s.loop.after(time.Duration(wait*float64(time.Second)), func() {
		s.submit(s.source.next())
		s.scheduleArrival()
	})
}

// submit sends a call from a client to one of the daemons.
func (s *simulation) submit(c *call) {
	c.arrivedAt = s.loop.now
	c.promptTokens = c.route.PromptTokens
	c.daemon = s.balancer.pick(s.daemons)
	c.route.Zone = c.daemon.zone
	s.tenant.setWeights(&c.route)
	s.calls = append(s.calls, c)
	s.loop.after(clientDelay, func() { s.send(c) })
}

// send chooses a runner for a call and sends the call there. If the runner has stopped
// when the call arrives, send chooses another one.
func (s *simulation) send(c *call) {
	decision, err := c.daemon.policy.Choose(&c.route, c.daemon.view, s.now())
	if err != nil {
		s.refuse(c, err)
		return
	}
	c.decision = decision
	c.flight = c.daemon.view.RecordStart(&c.route, decision, s.now())
	if !slices.Contains(s.inFlight, c) {
		s.inFlight = append(s.inFlight, c)
	}
	e := s.engineByName[decision.Runner]
	c.engine = e
	s.loop.after(s.delay(c), func() {
		if c.engine == e && !e.accept(c) {
			c.daemon.view.RecordEnd(&c.flight, s.now())
			s.send(c)
		}
	})
}

// refuse ends a call for which the policy found no runner.
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

// handleFirstToken records when the first token reaches the client, and reports
// it to the view of the daemon.
func (s *simulation) handleFirstToken(c *call) {
	delay := s.delay(c)
	if c.firstTokenAt == 0 {
		c.firstTokenAt = s.loop.now + delay + clientDelay
	}
	moves := c.moves
	s.loop.after(delay, func() {
		if c.moves != moves {
			return
		}
		c.daemon.view.RecordFirstToken(&c.flight)
		c.daemon.view.RecordUsage(&c.flight, &c.route, c.decision, c.route.PromptTokens-c.uncachedTokens)
	})
}

// handleEnd records when the last token reaches the client, and reports the end
// to the view of the daemon.
func (s *simulation) handleEnd(c *call) {
	delay := s.delay(c)
	c.endedAt = s.loop.now + delay + clientDelay
	c.engine = nil
	s.remove(c)
	s.loop.after(delay, func() { c.daemon.view.RecordEnd(&c.flight, s.now()) })
	if s.onEnd != nil {
		s.onEnd(c)
	}
}

// remove removes a call from the calls in flight.
func (s *simulation) remove(c *call) {
	if at := slices.Index(s.inFlight, c); at >= 0 {
		s.inFlight = slices.Delete(s.inFlight, at, at+1)
	}
}
