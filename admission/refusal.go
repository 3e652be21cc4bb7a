package admission

import (
	"fmt"
	"time"
)

// Reason is why a request is refused.
type Reason string

const (
	// NoCapacity means that more requests arrive than the runners can answer.
	NoCapacity Reason = "NoCapacity"
	// DeadlineTooNear means that the request would not be answered before its deadline.
	DeadlineTooNear Reason = "DeadlineTooNear"
)

// State is what a controller believes of a service.
type State struct {
	Room Room
	// Demand and CompletionRate are the requests that arrive, and those that the runners can end, in a
	// second.
	Demand, CompletionRate float64
	// Share is the fraction of the requests that is admitted.
	Share float64
	// Shares is that of each class: the urgencies, and requests beyond the usual load of their customers.
	Shares [classCount]float64
	// Wait is the estimated wait for a slot.
	Wait time.Duration
}

// Ratio returns the ratio of the demand to the completion rate, or zero if it is not known.
func (s State) Ratio() float64 {
	if s.CompletionRate <= 0 {
		return 0
	}
	return s.Demand / s.CompletionRate
}

func (s *service) state() State {
	return State{Room: s.room, Demand: s.demand, CompletionRate: s.completionRate(), Share: s.share, Shares: s.shares, Wait: s.wait(excessClass)}
}

// RefusedError reports that a request is not carried.
type RefusedError struct {
	Service string
	Reason  Reason
	Urgency int
	// IsExcess is true if the request is beyond the usual load of its customer.
	IsExcess bool
	// Share is the fraction of the requests of that class that is admitted.
	Share float64
	State State
	// Left is the time until the deadline of the request.
	Left time.Duration
	// Expected is the usual time to the response, or zero if it is not known.
	Expected   time.Duration
	RetryAfter time.Duration
}

// LacksCapacity reports whether the request could have been answered with more runners. One whose deadline is too
// near even without a wait could not.
func (e *RefusedError) LacksCapacity() bool {
	return e.Reason == NoCapacity || e.Expected <= e.Left
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: %.0f requests at %.0f slots of service %s, demand %.2f of the capacity",
		e.Reason, e.State.Room.inFlight(), e.State.Room.Slots, e.Service, e.State.Ratio())
}

// leftDivisor divides the time until the deadline into the longest Retry-After.
const leftDivisor = 3

// The part of the time to spare after which a caller comes back, if it can still be answered within its
// target latency: the rest is for its way.
const (
	minPartOfSpare = 0.3
	maxPartOfSpare = 0.8
	// minSpare is the time to spare below which a caller would come back at once.
	minSpare = 50 * time.Millisecond
)

// retryAfter returns when a refused caller may come back: early enough to wait for a slot and be
// answered within its target latency, if that is possible, and otherwise when the requests that wait
// have got a slot. A random number in [0, 1) spreads the callers, so that they don't return together.
func retryAfter(wait, spare, left time.Duration, options Options, random float64) time.Duration {
	earliest := min(max(wait, options.MinRetryAfter), options.MaxRetryAfter)
	latest := 2*earliest + options.MinRetryAfter
	if spare -= wait; spare >= minSpare {
		earliest, latest = time.Duration(minPartOfSpare*float64(spare)), time.Duration(maxPartOfSpare*float64(spare))
	}
	if bound := left / leftDivisor; latest > bound {
		latest = max(bound, time.Millisecond)
		earliest = min(earliest, latest/2)
	}
	return earliest + time.Duration(random*float64(latest-earliest))
}
