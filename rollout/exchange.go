package rollout

import (
	"slices"
	"time"
)

// Reports returns this process's reports on the orders in progress, for its digest.
func (c *Controller) Reports(now time.Time) []Report {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var reports []Report
	for name, known := range c.rolls {
		if newest := known.newest(); !newest.state.Phase.IsTerminal() {
			c.judge(name, newest, now)
			reports = append(reports, c.service(name).report(now))
		}
	}
	return reports
}

// Merge applies the reports in the digest that a daemon process made at a time of this
// process's clock. Digests without reports are to be merged as well, since they show that the
// process runs.
func (c *Controller) Merge(process string, reports []Report, madeAt, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if process == c.self || !c.options.IsEnabled() {
		return
	}
	reports = slices.DeleteFunc(slices.Clone(reports), func(r Report) bool { return !r.Phase.isKnown() })
	for _, report := range reports {
		c.learn(report.order(madeAt))
	}
	for _, known := range c.rolls {
		known.newest().reports.Hear(process, madeAt)
	}
	for _, report := range reports {
		known := c.rolls[report.Service].newest()
		if !known.state.Order.IsSame(report.order(madeAt)) || known.state.Phase.IsTerminal() {
			continue
		}
		known.reports.Merge(process, report, madeAt)
		if report.Stopped {
			c.stop(report.Service, known, Result{}, now)
		}
		c.judge(report.Service, known, now)
	}
}

// order returns the order that a report is on.
func (r Report) order(madeAt time.Time) Order {
	return Order{Service: r.Service, Target: r.Target, Period: r.Period, Position: r.Position, OrderedAt: orderedAt(madeAt, r.Age)}
}

// judge judges the target of an order, and stops sending requests to it if it is bad. The mutex
// must be held.
func (c *Controller) judge(name string, known *roll, now time.Time) {
	if known.state.Phase.IsTerminal() || now.Sub(known.judgedAt) < judgeInterval {
		return
	}
	known.judgedAt = now
	known.reports.Merge(c.self, c.service(name).report(now), now)
	known.result = Judge(known.reports.Sums(known.state.Order, c.options, now), c.options)
	c.service(name).setLoad(known.reports.load())
	if known.result.Verdict == Bad {
		c.stop(name, known, known.result, now)
	}
}

// stop stops sending requests to the target of an order, for good. The mutex must be held.
func (c *Controller) stop(name string, known *roll, result Result, now time.Time) {
	if known.stopped {
		return
	}
	known.stopped, known.stoppedAt = true, now
	c.events = append(c.events, Event{State: known.state, Stopped: true, Result: result})
	c.publish(name)
}

// ApplyState applies a state from a peer, from the store, or of this daemon once it has written
// it as the holder. It returns false if the daemon knows one that is as new.
func (c *Controller) ApplyState(state State, now time.Time) bool {
	if !c.options.IsEnabled() || !state.Phase.isKnown() {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.learn(state.Order)
	if known == nil || !state.Supersedes(known.state) {
		return false
	}
	order := known.state.Order
	if state.Phase != known.state.Phase {
		known.appliedAt = now
	}
	known.state = state
	known.state.Order = order
	c.events = append(c.events, Event{State: known.state, Result: known.result})
	c.publish(order.Service)
	// An earlier order that enters Closing has reports only once it is published as the newest one.
	if (state.Phase == Switch || state.Phase == Closing) && known.reports != nil {
		known.reports.EnterSwitch(now)
	}
	return true
}

// States returns the known states, for the digest, the newest of a service after its earlier ones. Those
// that no longer matter are left out.
// The orders have the times at which this process first learned that they began.
func (c *Controller) States() []State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var states []State
	for _, known := range c.rolls {
		for _, r := range known.relevant() {
			if r.state.Phase != Unknown {
				state := r.state
				state.Order.OrderedAt = r.knownAt
				states = append(states, state)
			}
		}
	}
	return states
}

// Environment is what the holder knows of a service beyond the reports.
type Environment struct {
	// Fence is the holder's fencing token.
	Fence uint64
	// Members are the daemon processes that are known to run, and Ended those that are known
	// to have ended, such as those that were replaced by another process of the same daemon.
	Members, Ended []string
	// LongestTimeout is the longest timeout of the service's routes.
	LongestTimeout time.Duration
	// TargetRunners counts the runners of the target that are not leaving, and OldRunners all
	// known runners of other versions.
	TargetRunners, OldRunners int
}

// Next returns the state that the holder is to write for the newest order of a service, and
// false if the known one stays. The holder applies it once a conditional write has succeeded.
func (c *Controller) Next(service string, environment Environment, now time.Time) (State, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.rolls[service]
	if len(known) == 0 {
		return State{}, false
	}
	newest := known.newest()
	if newest.state.Phase.IsTerminal() {
		return newest.state, false
	}
	c.judge(service, newest, now)
	newest.reports.Merge(c.self, c.service(service).report(now), now)
	inputs := Inputs{
		Fence: environment.Fence, Result: newest.result, Stopped: newest.stopped,
		Drained: newest.reports.Drained(environment.Members, environment.Ended, environment.LongestTimeout, now),
		Quiet:   newest.reports.Quiet(environment.Members, environment.Ended, environment.LongestTimeout, now),
		Closed: now.Sub(newest.appliedAt) >= c.options.ClosingTime &&
			newest.reports.Closed(environment.Members, environment.Ended, environment.LongestTimeout, now),
		Idle:      newest.reports.Idle(environment.Members, environment.Ended, environment.LongestTimeout, now),
		DrainTime: newest.reports.LongestOld(), TargetRunners: environment.TargetRunners, OldRunners: environment.OldRunners,
	}
	next := newest.state.Next(inputs, c.options, now)
	return next, next.Phase != newest.state.Phase
}
