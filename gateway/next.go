package gateway

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
)

// nextAttempt is an attempt that was secured before the current one was abandoned: the
// retry budget has granted it, and the balancer counts the request at its runner.
type nextAttempt struct {
	choice balance.Choice
	ticket *balance.Ticket
	// granted is when the retry budget granted the attempt.
	granted time.Time
}

// secureNext secures the attempt that follows the current one, and returns false if none
// can be made now. The mutex must be held.
func (x *exchange) secureNext(now time.Time) bool {
	if !x.mayAbandon(now) {
		return false
	}
	if !x.RetryBudgets.AllowRetry(x.service, x.Group.Size(), now) {
		return false
	}
	choice, ticket, err := x.chooseNext(now)
	if err != nil {
		x.RetryBudgets.ReturnRetry(x.service, now)
		return false
	}
	x.next = &nextAttempt{choice: choice, ticket: ticket, granted: now}
	return true
}

// mayAbandon reports whether the current attempt may be abandoned for another one. With
// less than the target latency left, the current runner is as likely to answer in time as
// another one. The mutex must be held.
func (x *exchange) mayAbandon(now time.Time) bool {
	switch {
	case x.ctx.Err() != nil, x.isMoving(), x.next != nil:
		return false
	case x.timeLeft(now) < x.route.TargetLatency:
		return false
	case x.unwrittenAttempts+1 >= x.options.MaxUnwrittenAttempts:
		return false
	default:
		return !x.Suspects.Refused(x.fingerprint, now)
	}
}

// chooseNext chooses the runner of the attempt that follows the current one. A stopped
// run returns to the runner where it was stopped.
func (x *exchange) chooseNext(now time.Time) (balance.Choice, *balance.Ticket, error) {
	if x.stoppedAt != nil {
		ticket, err := x.Balancer.Acquire(x.stoppedAt.Runner, now)
		return *x.stoppedAt, ticket, err
	}
	r := x.balanceRequest()
	r.Excluded = append(r.Excluded, x.choice.Runner.ID)
	r.AvailableOnly = true
	return x.Balancer.Choose(r, now)
}

// isNextSecured reports whether the next attempt is secured.
func (x *exchange) isNextSecured() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.next != nil
}

// takeNext begins the secured attempt and returns its ticket, or nil if none is secured.
func (x *exchange) takeNext() *balance.Ticket {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.next == nil {
		return nil
	}
	x.abandoned = ""
	if x.continuedRun == nil {
		x.abandoned = x.choice.Runner.ID
	}
	if x.stoppedAt == nil {
		x.continuedRun = nil
	}
	x.stoppedAt = nil
	x.choice = x.next.choice
	ticket := x.next.ticket
	x.next = nil
	return ticket
}

// releaseNext gives back a secured attempt that is not made.
func (x *exchange) releaseNext() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.next == nil {
		return
	}
	x.next.ticket.End(balance.Cancelled, x.Clock.Now())
	x.RetryBudgets.ReturnRetry(x.service, x.next.granted)
	x.next = nil
}
