package gateway

import (
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
)

// stoppedSource is the runner that has stopped a run, from whose memory the run can go on.
type stoppedSource struct {
	choice balance.Choice
	// leavesSince is when the runner was found to leave.
	leavesSince time.Time
}

// LeftError reports that a stopped run can't go on at its runner, which has been leaving for
// too long to get requests.
type LeftError struct {
	Runner string
	Since  time.Duration
}

// Error implements error.
func (e *LeftError) Error() string {
	return fmt.Sprintf("runner %s has been leaving for %v", e.Runner, e.Since)
}

// acquireSource counts the request at the runner that stopped the run. It fails with a
// *BarredVersionError if the runner's version gets no requests, with a *LeftError if the runner has been
// leaving for longer than ReturnTime and another one can take the stream up, and otherwise as
// Balancer.Acquire does.
func (x *exchange) acquireSource(source stoppedSource, now time.Time) (*balance.Ticket, error) {
	if version := source.choice.Runner.Version; x.isBarred(version, now) {
		return nil, &BarredVersionError{Service: x.service, Version: version}
	}
	since := now.Sub(source.leavesSince)
	if x.route.Repeatable() && since > x.options.ReturnTime {
		return nil, &LeftError{Runner: source.choice.Runner.ID, Since: since}
	}
	return x.Balancer.Acquire(source.choice.Runner, now)
}

// returnToSource returns an attempt at the runner that stopped the run. It returns nil if
// that was tried before or the runner gets no requests now.
func (x *exchange) returnToSource() *attempt {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.stoppedAt == nil {
		return nil
	}
	source := *x.stoppedAt
	x.stoppedAt = nil
	ticket, err := x.acquireSource(source, x.Clock.Now())
	if err != nil {
		x.Log.Info("RunLost", "Request", x.call.ID, "Runner", source.choice.Runner.ID, "Reason", err.Error())
		return nil
	}
	return x.newAttempt(source.choice, ticket, x.continuedRun)
}
