package gateway

import (
	"context"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/clock"
)

// streamMove is the move of one stream away from a runner that is leaving.
type streamMove struct {
	// done is closed when the move has succeeded or failed.
	done chan struct{}
	// source is the choice of the attempt that the move ends.
	source balance.Choice
	// run is the stopped run, or nil if the stream was not moved. It is set
	// before done is closed.
	run *call.StoppedRun
	// choice is the runner that continues the run, and ticket counts the request
	// at that runner.
	choice balance.Choice
	ticket *balance.Ticket
}

// MoveStreams moves the streams away from a runner that is leaving.
func (g *Gateway) MoveStreams(runner string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for x := range g.streams[runner] {
		go x.moveFrom(runner)
	}
}

// registerStream records that the stream is served by a runner, and
// unregisterStream that it no longer is.
func (x *exchange) registerStream(runner string) {
	x.mutex.Lock()
	x.currentRunner = runner
	x.mutex.Unlock()
	x.Gateway.mutex.Lock()
	defer x.Gateway.mutex.Unlock()
	if x.streams[runner] == nil {
		x.streams[runner] = make(map[*exchange]struct{})
	}
	x.streams[runner][x] = struct{}{}
}

func (x *exchange) unregisterStream(runner string) {
	x.mutex.Lock()
	x.currentRunner = ""
	x.mutex.Unlock()
	x.Gateway.mutex.Lock()
	defer x.Gateway.mutex.Unlock()
	delete(x.streams[runner], x)
	if len(x.streams[runner]) == 0 {
		delete(x.streams, runner)
	}
}

// moveFrom stops the run at a runner that is leaving and copies the run's KV cache to
// another runner. The stream then breaks off, and the goroutine that serves the
// request continues it at the new runner.
func (x *exchange) moveFrom(runner string) {
	if x.awaitMoveTime(runner) != nil {
		return
	}
	m, r, started := x.beginMove(runner)
	if !started {
		return
	}
	defer close(m.done)
	x.move(m, r)
}

// awaitMoveTime waits for MoveDelay and until the runner wants requests again, since the
// request to stop a run is one too. It fails when the context of the request ends.
func (x *exchange) awaitMoveTime(runner string) error {
	pauseLeft := func() time.Duration { return x.Balancer.PauseLeft(runner, x.Clock.Now()) }
	for wait := max(x.options.MoveDelay, pauseLeft()); wait > 0; wait = pauseLeft() {
		if err := clock.Sleep(x.ctx, x.Clock, wait); err != nil {
			return err
		}
	}
	return nil
}

// beginMove returns a move away from the runner, and the request for the choice of
// the new one, if the runner still serves the stream.
func (x *exchange) beginMove(runner string) (*streamMove, balance.Request, bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.currentRunner != runner || x.pendingMove != nil || x.replacements.exist() {
		return nil, balance.Request{}, false
	}
	x.pendingMove = &streamMove{done: make(chan struct{}), source: x.choice}
	r := x.balanceRequest()
	r.Excluded = append(r.Excluded, runner)
	return x.pendingMove, r, true
}

// hasEnded reports whether the move has succeeded or failed.
func (m *streamMove) hasEnded() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// isMoved reports whether a move of the current attempt has succeeded. The mutex must be
// held.
func (x *exchange) isMoved() bool {
	return x.pendingMove != nil && x.pendingMove.hasEnded() && x.pendingMove.run != nil
}

// isMoving reports whether a move of the current attempt is in progress. The mutex must
// be held.
func (x *exchange) isMoving() bool {
	return x.pendingMove != nil && !x.pendingMove.hasEnded()
}

func (x *exchange) move(m *streamMove, r balance.Request) {
	if !x.RetryBudgets.AllowRetry(x.service, x.Group.Size(), x.Clock.Now()) {
		x.recordNotMoved(m, "RetryBudgetUsedUp")
		return
	}
	choice, ticket, err := x.Balancer.Choose(r, x.Clock.Now())
	if err != nil {
		x.recordNotMoved(m, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(x.ctx, x.options.MoveTimeout)
	defer cancel()
	source := m.source.Runner
	run, copied, err := x.Mover.StopRun(ctx, source.Address, x.call.ID, choice.Runner.Address)
	if err != nil {
		ticket.End(balance.Cancelled, x.Clock.Now())
		x.recordNotMoved(m, err.Error())
		return
	}
	if !copied {
		ticket.End(balance.Cancelled, x.Clock.Now())
		choice = m.source
		ticket, err = x.Balancer.Acquire(source, x.Clock.Now())
	}
	if err != nil {
		x.recordNotMoved(m, err.Error())
		return
	}
	m.run, m.choice, m.ticket = &run, choice, ticket
	x.Count("Streams.Moved", 1)
	x.Log.Info("StreamMoved", "Request", x.call.ID, "From", source.ID, "To", choice.Runner.ID, "Copied", copied)
}

// returnToSource returns an attempt at the runner that stopped the run. It returns nil if
// that was tried before or the runner wants no requests now.
func (x *exchange) returnToSource() *attempt {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.stoppedAt == nil {
		return nil
	}
	source := *x.stoppedAt
	x.stoppedAt = nil
	ticket, err := x.Balancer.Acquire(source.Runner, x.Clock.Now())
	if err != nil {
		x.Log.Info("RunLost", "Request", x.call.ID, "Runner", source.Runner.ID, "Reason", err.Error())
		return nil
	}
	return x.newAttempt(source, ticket, x.continuedRun)
}

// recordNotMoved counts and logs a stream that was not moved.
func (x *exchange) recordNotMoved(m *streamMove, reason string) {
	x.Count("Streams.NotMoved", 1)
	x.Log.Info("StreamStays", "Request", x.call.ID, "Runner", m.source.Runner.ID, "Reason", reason)
}

// releaseMove gives back the runner of a move that the request no longer needs. The move
// may still be in progress; the answer does not wait for its end.
func (x *exchange) releaseMove() {
	x.mutex.Lock()
	m := x.pendingMove
	x.mutex.Unlock()
	if m == nil {
		return
	}
	go func() {
		<-m.done
		if m.ticket != nil {
			m.ticket.End(balance.Cancelled, x.Clock.Now())
		}
	}()
}

// awaitMove returns the move that ended the attempt, or nil. It waits for a move
// that is in progress.
func (x *exchange) awaitMove() *streamMove {
	x.mutex.Lock()
	m := x.pendingMove
	x.pendingMove = nil
	x.mutex.Unlock()
	if m == nil {
		return nil
	}
	<-m.done
	if m.run == nil {
		return nil
	}
	return m
}
