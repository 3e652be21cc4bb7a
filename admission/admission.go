// Package admission decides which requests of a service are carried while more arrive than its
// runners can answer. All daemons derive the share that they admit from the same rates and loads of
// the service, and each request is admitted with a probability, so that they neither all refuse nor
// all admit while their figures are old. It performs no I/O.
package admission

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Request describes a request as far as its admission depends on it.
type Request struct {
	Service string
	// Route is the name of the route: the expected service time is that of its requests.
	Route string
	// Urgency is 0 for the requests that are admitted first and MaxUrgency for those that are refused
	// first.
	Urgency int
	// IsOrdered is true if the runners of the service admit by urgency.
	IsOrdered bool
	// Customer is empty if it is not known.
	Customer string
	// Tokens is the size of the prompt, or zero.
	Tokens int
	// MaxPerSlot is the number of requests in flight per slot from which on most requests are refused,
	// or zero.
	MaxPerSlot float64
	// Left is the time until the deadline of the request, and Target the target latency, or zero.
	Left, Target time.Duration
	// Continues is true if the caller has a part of the answer already. Such a request is counted
	// and always admitted.
	Continues bool
}

// class returns the class of the request by its urgency.
func (r Request) class() int { return min(max(r.Urgency, 0), MaxUrgency) }

// Rooms tells the room of services.
type Rooms interface {
	// Room returns the room of a service.
	Room(service string, now time.Time) Room
}

// Controller decides for all services of a daemon. It is safe for use by several goroutines.
type Controller struct {
	options Options
	rooms   Rooms

	mutex  sync.Mutex
	random *rand.Rand
	// services holds the state of each service; guarded by mutex, like random.
	services map[string]*service
}

// New returns a controller that admits everything until it knows the load of a service.
func New(options Options, rooms Rooms, random *rand.Rand) *Controller {
	return &Controller{options: options, rooms: rooms, random: random, services: make(map[string]*service)}
}

// Admit counts a request and returns nil if it is to be carried.
func (c *Controller) Admit(request Request, now time.Time) *RefusedError {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.service(request.Service, now)
	if s.isDue(now, c.options.RefreshInterval) {
		s.refresh(c.rooms.Room(request.Service, now), c.options, now)
	}
	class := c.classOf(s, request, now)
	s.count(class, request)
	if request.Continues || s.room.Slots <= 0 || s.room.isCalm() {
		return nil
	}
	if s.missesDeadline(class, request, c.options) {
		return c.refuse(s, request, class, DeadlineTooNear)
	}
	if share := s.shares[class]; share < 1 && c.random.Float64() >= share {
		return c.refuse(s, request, class, NoCapacity)
	}
	return nil
}

// ObserveResponse records how long a request took to its answer or its first event.
func (c *Controller) ObserveResponse(request Request, taken time.Duration, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if s := c.service(request.Service, now); !s.isContended(c.options) {
		s.times.add(request, taken)
	}
}

// IsContended reports whether the slots of a service are about to be exhausted, as far as is known.
func (c *Controller) IsContended(name string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.services[name]
	return s != nil && s.isContended(c.options)
}

// State returns what the controller believes of a service, and false if it has had no request for it.
func (c *Controller) State(name string) (State, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.services[name]
	if s == nil {
		return State{}, false
	}
	return s.state(), true
}

// service returns the state of a service. The mutex must be held.
func (c *Controller) service(name string, now time.Time) *service {
	s := c.services[name]
	if s == nil {
		s = newService(c.options, now)
		c.services[name] = s
	}
	return s
}

// classOf returns the class of a request. Among the requests of a customer that sends far more than
// usual, as many keep their class as are usual. The mutex must be held.
func (c *Controller) classOf(s *service, request Request, now time.Time) int {
	class := request.class()
	if request.Customer == "" {
		return class
	}
	if excess := s.customers.add(request.Customer, now); excess > 0 && c.random.Float64() < excess {
		return excessClass
	}
	return class
}

// refuse returns the refusal of a request. The mutex must be held.
func (c *Controller) refuse(s *service, request Request, class int, reason Reason) *RefusedError {
	return &RefusedError{
		Service: request.Service, Reason: reason, Urgency: request.class(),
		IsExcess: class == excessClass, Share: s.shares[class], State: s.state(), Left: request.Left, Expected: s.expected(request),
		RetryAfter: retryAfter(s.wait(excessClass), s.timeToSpare(request), request.Left, c.options, c.random.Float64()),
	}
}
