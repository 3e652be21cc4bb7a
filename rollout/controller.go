package rollout

import (
	"slices"
	"sync"
	"time"
)

// judgeInterval is the least time between two judgements of an order.
const judgeInterval = 200 * time.Millisecond

// Controller is one daemon's part in all roll-outs: it counts requests and responses, decides
// which requests go to the targets, and holds the reports of all daemons and the states of the
// orders. It is safe for concurrent use.
type Controller struct {
	options Options
	// self identifies this process.
	self string
	// random returns numbers in [0, 1). It is called under the mutex of a service.
	random func() float64
	// services holds a *service by name.
	services sync.Map

	// mutex is locked before that of a service.
	mutex sync.Mutex
	// rolls holds the orders by service, and events what has changed since Events was called.
	rolls  map[string]rolls
	events []Event
	// forgotten holds the orders by service that are no longer in rolls, the latest last.
	forgotten map[string][]Order
}

// Event is a decision that is worth a log line.
type Event struct {
	State State
	// Stopped is true if the daemon has just stopped sending requests to the target on evidence,
	// and Result is its own evidence, or undecided if it relies on that of a peer.
	Stopped bool
	Result  Result
}

// New returns a Controller that knows no orders. The function returns random numbers in [0, 1)
// and need not be safe for concurrent use.
func New(options Options, self string, random func() float64) *Controller {
	guarded := &guardedRandom{random: random}
	return &Controller{
		options: options, self: self, random: guarded.next,
		rolls: make(map[string]rolls), forgotten: make(map[string][]Order),
	}
}

// guardedRandom makes a source of random numbers safe for concurrent use.
type guardedRandom struct {
	mutex  sync.Mutex
	random func() float64
}

func (g *guardedRandom) next() float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.random()
}

// IsEnabled reports whether there may be roll-outs.
func (c *Controller) IsEnabled() bool { return c.options.IsEnabled() }

// service returns the part for the requests of a service.
func (c *Controller) service(name string) *service {
	if known, found := c.services.Load(name); found {
		return known.(*service)
	}
	known, _ := c.services.LoadOrStore(name, &service{share: c.options.trialShare()})
	return known.(*service)
}

// Assign counts a request that has reached its service, and returns which versions its first
// attempt may use.
func (c *Controller) Assign(service, route string, now time.Time) Assignment {
	return c.service(service).assign(route, true, now)
}

// Arrive counts a request that has reached its service and is bound to a version. It adds no credit:
// requests that may go to either version are compared at the same moments.
func (c *Controller) Arrive(service string) { c.service(service).arrive() }

// Reassign returns which versions a further attempt of a request may use, such as a retry or
// a hedged request.
func (c *Controller) Reassign(service, route string, now time.Time) Assignment {
	return c.service(service).assign(route, false, now)
}

// Release takes back an assignment of a request of a route for which no runner was found.
func (c *Controller) Release(service, route string, assignment Assignment) {
	c.service(service).release(route, assignment)
}

// Start counts an attempt that is sent to a runner of a version. Attempts that must go to a
// version, such as those that resume or move a stream, pass a zero Assignment.
func (c *Controller) Start(service, route, version string, assignment Assignment, now time.Time) *Attempt {
	return c.service(service).start(route, version, assignment, now)
}

// Hold counts a stream that goes on at a version as in flight there, also between its attempts. The
// caller ends it with the stream.
func (c *Controller) Hold(service, version string, now time.Time) *Attempt {
	s := c.service(service)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := &Attempt{service: s, version: version, startedAt: now}
	s.append(held)
	return held
}

// SetOrders tells the records of orders that the store holds now. An order that is missing
// continues. The OrderedAt of a record may be zero, which stands for now.
func (c *Controller) SetOrders(orders []Order, now time.Time) {
	if !c.options.IsEnabled() {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, order := range orders {
		if order.OrderedAt.IsZero() {
			order.OrderedAt = now
		}
		c.learn(order)
	}
}

// learn returns what is known of an order, which it adds if it is new. It returns nil for an
// order that is older than all that are remembered, or that was forgotten. The mutex must be held.
func (c *Controller) learn(order Order) *roll {
	known := c.rolls[order.Service]
	if found := known.find(order); found != nil {
		if found.learn(order) {
			c.sortAndPublish(order.Service)
		}
		return found
	}
	if slices.ContainsFunc(c.forgotten[order.Service], order.IsSame) {
		return nil
	}
	c.rolls[order.Service] = append(known, &roll{state: State{Order: order}, knownAt: order.OrderedAt})
	c.sortAndPublish(order.Service)
	return c.rolls[order.Service].find(order)
}

// sortAndPublish sorts the orders of a service, forgets the oldest and publishes the rest. The
// mutex must be held.
func (c *Controller) sortAndPublish(service string) {
	known := c.rolls[service]
	slices.SortStableFunc(known, func(x, y *roll) int { return x.state.Order.Position.Compare(y.state.Order.Position) })
	surplus := max(0, len(known)-maxRolls)
	for _, oldest := range known[:surplus] {
		c.forget(oldest.state.Order)
	}
	c.rolls[service] = known[surplus:]
	c.publish(service)
}

// maxForgotten bounds the forgotten orders of a service.
const maxForgotten = 64

// forget remembers that an order is over. A restored store may hold its record at a later epoch, where
// it would be the newest order and get another trial. The mutex must be held.
func (c *Controller) forget(order Order) {
	c.forgotten[order.Service] = append(c.forgotten[order.Service], order)
	c.forgotten[order.Service] = c.forgotten[order.Service][max(0, len(c.forgotten[order.Service])-maxForgotten):]
}

// publish tells the part for the requests of a service what is known of its orders. The mutex
// must be held.
func (c *Controller) publish(name string) {
	known := c.rolls[name]
	newest := known.newest()
	for _, r := range known {
		if r != newest {
			r.reports, r.tally = nil, nil
		}
	}
	if newest.reports == nil {
		newest.reports, newest.tally = NewReports(), NewTally(c.options, c.random)
	}
	s := c.service(name)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.run = &run{
		order: newest.state.Order, knownAt: newest.knownAt, appliedAt: newest.appliedAt,
		phase: newest.state.Phase, stopped: newest.stopped, refusesUntil: newest.refusesUntil(c.options), tally: newest.tally,
	}
	s.excluded, s.excludedUntil = known.excluded(), known.excludedUntil()
	s.excludedWithTarget = append(slices.Clone(s.excluded), newest.state.Order.Target)
}

// Events returns the changes of states and the stops on evidence since the last call.
func (c *Controller) Events() []Event {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	events := c.events
	c.events = nil
	return events
}
