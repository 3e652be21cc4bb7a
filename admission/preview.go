package admission

import "time"

// Preview tells what would become of a request.
type Preview struct {
	// Chance is the probability that it is admitted.
	Chance float64
	// Reason is why it would be refused, or empty if Chance is 1.
	Reason Reason
	// Excess is the fraction of the customer's requests that are beyond its usual load.
	Excess float64
	// Expected is the usual time to the response for its size, or zero if it is not known, and Wait
	// the estimated wait for a slot before that.
	Expected, Wait time.Duration
	// MaxRetryAfter bounds the Retry-After of a refusal.
	MaxRetryAfter time.Duration
	State         State
	// StateAge is the time since the state was evaluated: that happens with each request, ten times a
	// second at most.
	StateAge time.Duration
}

// Preview tells what would become of a request, without counting it.
func (c *Controller) Preview(request Request, now time.Time) Preview {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.services[request.Service]
	if s == nil {
		return Preview{Chance: 1}
	}
	class := request.class()
	p := Preview{
		Chance: 1, Excess: s.customers.peek(request.Customer, now), Expected: s.expected(request), Wait: s.wait(class),
		State: s.state(), StateAge: now.Sub(s.refreshedAt),
		MaxRetryAfter: retryAfter(s.wait(excessClass), s.timeToSpare(request), request.Left, c.options, 1),
	}
	switch {
	case request.Continues || s.room.Slots <= 0 || s.room.isCalm():
	case s.missesDeadline(class, request, c.options):
		p.Chance, p.Reason = 0, DeadlineTooNear
	default:
		p.Chance = s.shares[class]*(1-p.Excess) + s.shares[excessClass]*p.Excess
		if p.Chance < 1 {
			p.Reason = NoCapacity
		}
	}
	return p
}
