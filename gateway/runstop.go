package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/upstream"
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
}

// beginRunStop records that the run is about to be stopped. The mutex must be held.
func (x *exchange) beginRunStop(m *streamMove, now time.Time) {
	m.stop = &runStop{runner: m.source.Runner.ID, lastAttempt: x.attempts, sentAt: now, outcome: stopPending}
	x.runStops = append(x.runStops, m.stop)
}

// settleRunStop records the result of a request to stop a run.
func (x *exchange) settleRunStop(s *runStop, err error) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	switch {
	case err == nil:
		s.outcome = stopDone
	case isRefused(err):
		s.outcome = stopRefused
	default:
		s.outcome = stopUnknown
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
		target, err = x.returnTarget(m, target)
		if err != nil {
			return err
		}
	}
	m.run, m.target = &run, target
	x.recordMoved(m, copied)
	return nil
}

// recordMoved counts and logs a stream that was moved.
func (x *exchange) recordMoved(m *streamMove, copied bool) {
	source, target := m.source.Runner, m.target.choice.Runner
	x.mutex.Lock()
	outcome := m.stop.outcome
	x.mutex.Unlock()
	x.Count("Streams.Moved", 1)
	x.Log.Info("StreamMoved", "Request", x.call.ID, "From", source.ID, "FromVersion", source.Version, "To", target.ID, "ToVersion", target.Version,
		"Copied", copied, "Stop", string(outcome), "StopMilliseconds", x.Clock.Since(m.stop.sentAt).Milliseconds())
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

// lastRunStop returns the last request to stop a run that a runner got, or nil.
func (x *exchange) lastRunStop(runner string) *runStop {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for i := len(x.runStops) - 1; i >= 0; i-- {
		if x.runStops[i].runner == runner {
			stop := *x.runStops[i]
			return &stop
		}
	}
	return nil
}

// observeStreamEnd counts the end of a stream by its framing. It logs the end of one whose
// framing does not show whether it is complete, if the daemon has asked the runner to stop the
// run or knows that it leaves.
func (x *exchange) observeStreamEnd(a *attempt, answer *upstream.Answer, failure error) {
	if failure == nil {
		x.Count("Streams.CompleteBy."+string(answer.Framing()), 1)
	}
	runner := a.choice.Runner
	stop, leaves := x.lastRunStop(runner.ID), x.Balancer.IsLeaving(runner)
	if answer.IsDelimited() || stop == nil && !leaves {
		return
	}
	fields := []any{"Request", x.call.ID, "Attempt", a.number, "Runner", runner.ID, "RunnerLeaves", leaves, "Complete", failure == nil, "LastEvent", x.lastEvent}
	if stop != nil {
		fields = append(fields, "Stop", string(stop.outcome), "StopMilliseconds", x.Clock.Since(stop.sentAt).Milliseconds())
	}
	if failure != nil {
		fields = append(fields, "Cause", failure.Error())
	}
	x.Count("Streams.EndedByConnectionAtMove", 1)
	x.Log.Info("StreamEndedByConnection", fields...)
}
