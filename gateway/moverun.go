package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/inventory"
)

// moveTarget is the runner that is to continue a run.
type moveTarget struct {
	choice balance.Choice
	// ticket counts the request at the runner.
	ticket *balance.Ticket
	// granted is when the retry budget granted the attempt there.
	granted time.Time
}

// move copies the run to another runner and then stops it. It returns the ID of that
// runner, if one was chosen.
func (x *exchange) move(m *streamMove, r balance.Request) (runner string, err error) {
	target, err := x.secureTarget(r)
	if err != nil {
		return "", err
	}
	return target.choice.Runner.ID, x.moveTo(target, m)
}

func (x *exchange) moveTo(target *moveTarget, m *streamMove) error {
	handle, err := x.copyRun(m.source.Runner, target.choice.Runner)
	if err != nil {
		x.releaseTarget(target)
		return err
	}
	if err := x.beginStop(m, target); err != nil {
		x.releaseTarget(target)
		x.freeCopy(handle, m.source.Runner, target.choice.Runner)
		return err
	}
	return x.stopRun(m, target, handle)
}

// secureTarget chooses the runner that is to continue the run.
func (x *exchange) secureTarget(r balance.Request) (*moveTarget, error) {
	now := x.Clock.Now()
	if !x.RetryBudgets.AllowRetry(x.service, x.Group.Size(), now) {
		return nil, &NotMovedError{Reason: "RetryBudgetUsedUp"}
	}
	choice, ticket, err := x.Balancer.Choose(r, now)
	if err != nil {
		x.RetryBudgets.ReturnRetry(x.service, now)
		return nil, err
	}
	return &moveTarget{choice: choice, ticket: ticket, granted: now}, nil
}

// releaseTarget gives back a runner that does not continue the run.
func (x *exchange) releaseTarget(target *moveTarget) {
	target.ticket.EndUnsent(balance.Cancelled, x.Clock.Now())
	x.RetryBudgets.ReturnRetry(x.service, target.granted)
}

// copyRun copies the run, which continues. The copy does not end with the request: its
// handle is needed to free it.
func (x *exchange) copyRun(source, target inventory.Runner) (string, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.options.CopyTimeout)
	defer cancel()
	handle, err := x.Mover.CopyRun(ctx, source.Address, x.call.ID, target.Address)
	x.applyPause(source, err)
	return handle, err
}

// applyPause records that a runner has turned away a request of a move and wants no
// others for a time.
func (x *exchange) applyPause(runner inventory.Runner, err error) {
	var turnedAway interface{ PauseWanted() time.Duration }
	if errors.As(err, &turnedAway) && turnedAway.PauseWanted() > 0 {
		x.Balancer.Pause(runner, turnedAway.PauseWanted(), x.Clock.Now())
	}
}

// beginStop records that the run is about to be stopped, if the stream is still served at
// the source, no other attempt replaces it, and both runners want requests.
func (x *exchange) beginStop(m *streamMove, target *moveTarget) error {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	now := x.Clock.Now()
	switch {
	case x.pendingMove != m, x.currentRunner != m.source.Runner.ID, x.ctx.Err() != nil:
		return &NotMovedError{Reason: "StreamEnded"}
	case x.replacements.exist():
		return &NotMovedError{Reason: "RunnerSilent"}
	case x.Balancer.PauseLeft(m.source.Runner.ID, now) > 0:
		return &NotMovedError{Reason: "SourcePaused"}
	case x.Balancer.PauseLeft(target.choice.Runner.ID, now) > 0:
		return &NotMovedError{Reason: "TargetPaused"}
	case x.isBarred(target.choice.Runner.Version, now):
		// The run goes on at its source, and could go on nowhere else.
		return &NotMovedError{Reason: "VersionBarred"}
	}
	x.beginRunStop(m, now)
	return nil
}

// freeLastRun frees the copies of the run that the last move has stopped, in the background. The
// run goes on nowhere.
func (x *exchange) freeLastRun() {
	m := x.lastMove
	x.lastMove = nil
	if m != nil {
		go x.freeCopy(m.run.Handle, m.source.Runner, m.target.choice.Runner)
	}
}

// freeCopy frees a copy that no request uses. The source frees it at both ends; if the
// source wants no requests or can't be reached, only the target is asked.
func (x *exchange) freeCopy(handle string, source, target inventory.Runner) {
	for _, runner := range []inventory.Runner{source, target} {
		if x.Balancer.PauseLeft(runner.ID, x.Clock.Now()) > 0 {
			continue
		}
		err := x.freeCopyAt(runner, handle)
		if err == nil {
			return
		}
		x.Count("Streams.CopiesNotFreed", 1)
		x.Log.Info("CopyNotFreed", "Request", x.call.ID, "Runner", runner.ID, "Reason", err.Error())
	}
}

func (x *exchange) freeCopyAt(runner inventory.Runner, handle string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.options.MoveTimeout)
	defer cancel()
	err := x.Mover.FreeRun(ctx, runner.Address, handle)
	x.applyPause(runner, err)
	return err
}
