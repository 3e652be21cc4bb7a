package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/call"
)

// stopOutcome is what is known of a request to stop a run.
type stopOutcome string

const (
	// stopPending means that the runner has not answered yet.
	stopPending stopOutcome = "Pending"
	// stopDone means that the runner has answered that it stopped the run.
	stopDone stopOutcome = "Stopped"
	// stopRefused means that the runner has answered that it did not stop the run.
	stopRefused stopOutcome = "Refused"
	// stopNeverSent means that the runner was not reached.
	stopNeverSent stopOutcome = "NeverSent"
	// stopUnknown means that no answer tells. The runner may yet stop the run.
	stopUnknown stopOutcome = "Unknown"
)

// runStop is a request to a runner to stop the run of a stream. The mutex of the exchange guards
// its outcome.
type runStop struct {
	runner string
	// lastAttempt is the number of the last attempt that was made before.
	lastAttempt int
	sentAt      time.Time
	outcome     stopOutcome
	// settled is closed when the outcome is no longer pending.
	settled chan struct{}
}

// beginRunStop records that the run is about to be stopped. The mutex must be held.
func (x *exchange) beginRunStop(m *streamMove, now time.Time) {
	m.stop = &runStop{runner: m.source.Runner.ID, lastAttempt: x.attempts, sentAt: now, outcome: stopPending, settled: make(chan struct{})}
	x.runStops = append(x.runStops, m.stop)
}

// settleRunStop records the result of a request to stop a run.
func (x *exchange) settleRunStop(s *runStop, err error) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	defer close(s.settled)
	s.outcome = outcomeOf(err)
}

// outcomeOf returns what the result of a request to stop a run tells.
func outcomeOf(err error) stopOutcome {
	var unsent interface{ NeverSent() bool }
	switch {
	case err == nil:
		return stopDone
	case isRefused(err):
		return stopRefused
	case errors.As(err, &unsent) && unsent.NeverSent():
		return stopNeverSent
	default:
		return stopUnknown
	}
}

// stopRun stops the run, whose copy is complete. If no answer says whether the run was
// stopped, the copy is kept: it continues the run if the stream breaks off.
func (x *exchange) stopRun(m *streamMove, target *moveTarget, handle string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.options.MoveTimeout)
	defer cancel()
	source := m.source.Runner
	run, copied, err := x.Mover.StopRun(ctx, source.Address, x.call.ID, target.choice.Runner.Address)
	x.settleRunStop(m.stop, err)
	x.applyPause(source, err)
	if isRefused(err) {
		x.releaseTarget(target)
		x.freeCopy(handle, source, target.choice.Runner)
		return err
	}
	if err != nil {
		x.Count("Streams.StopsUnanswered", 1)
		x.Log.Info("StopUnanswered", "Request", x.call.ID, "Runner", source.ID, "Reason", err.Error())
		run, copied = call.StoppedRun{Source: source.Address, Handle: handle}, true
	}
	if !copied {
		returned, err := x.returnTarget(m, target)
		if err != nil {
			x.freeCopy(run.Handle, source, target.choice.Runner)
			return err
		}
		target = returned
	}
	m.run, m.target = &run, target
	x.recordMoved(m, copied)
	return nil
}

// recordMoved counts and logs a stream that was moved.
func (x *exchange) recordMoved(m *streamMove, copied bool) {
	source, target := m.source.Runner, m.target.choice.Runner
	x.Count("Streams.Moved", 1)
	x.Log.Info("StreamMoved", append([]any{
		"Request", x.call.ID, "From", source.ID, "FromVersion", source.Version, "To", target.ID, "ToVersion", target.Version, "Copied", copied,
	}, x.stopFields(m.stop)...)...)
}

// isRefused reports whether a runner has answered that it did not stop a run.
func isRefused(err error) bool {
	var refused interface{ Refused() bool }
	return errors.As(err, &refused) && refused.Refused()
}

// returnTarget replaces the target of a move by its source, where a run continues whose
// rest could not be copied.
func (x *exchange) returnTarget(m *streamMove, target *moveTarget) (*moveTarget, error) {
	now := x.Clock.Now()
	target.ticket.EndUnsent(balance.Cancelled, now)
	ticket, err := x.Balancer.Acquire(m.source.Runner, now)
	if err != nil {
		x.RetryBudgets.ReturnRetry(x.service, target.granted)
		return nil, err
	}
	return &moveTarget{choice: m.source, ticket: ticket, granted: target.granted}, nil
}
