package gateway

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/clock"
)

// streamMove is the move of one stream away from a runner that is leaving. The run is
// stopped only once its copy at another runner is complete.
type streamMove struct {
	// done is closed when the move has succeeded or failed.
	done chan struct{}
	// source is the choice of the attempt that the move ends, and noticedAt when its runner
	// was found to leave.
	source    balance.Choice
	noticedAt time.Time
	// stop is the request to stop the run, or nil. Until then the attempt goes on as if there
	// were no move. It is guarded by the mutex of the exchange.
	stop *runStop
	// run is the stopped run, or nil if the stream was not moved. It is set
	// before done is closed.
	run *call.StoppedRun
	// target is the runner that continues the run.
	target *moveTarget
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
	x.addStream(runner)
	// The runner may have begun to leave between its choice and the registration.
	if !x.isBackAtSource() && x.Balancer.IsLeaving(x.choice.Runner) {
		go x.moveFrom(runner)
	}
}

func (x *exchange) addStream(runner string) {
	x.Gateway.mutex.Lock()
	defer x.Gateway.mutex.Unlock()
	if x.streams[runner] == nil {
		x.streams[runner] = make(map[*exchange]struct{})
	}
	x.streams[runner][x] = struct{}{}
}

// isBackAtSource reports whether the attempt continues a stopped run at the runner that
// stopped it, since it could not continue elsewhere.
func (x *exchange) isBackAtSource() bool {
	return x.continuedRun != nil && x.continuedRun.Source == x.choice.Runner.Address
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

// excludeFromMoves keeps an attempt at its runner whose answer is no stream of events: it could not
// go on elsewhere.
func (x *exchange) excludeFromMoves(a *attempt) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.currentRunner == a.choice.Runner.ID {
		x.currentRunner = ""
	}
}

// maxMoveTries bounds the tries to move a stream. A try that fails before the run is
// stopped does no harm: the run may not have begun, or the target may have had no room.
const maxMoveTries = 4

// moveFrom moves the stream away from a runner that is leaving. The stream then breaks
// off, and the goroutine that serves the request continues it at the new runner.
func (x *exchange) moveFrom(runner string) {
	noticedAt := x.Clock.Now()
	failed := ""
	for range maxMoveTries {
		if x.awaitMoveTime(runner) != nil {
			return
		}
		m, r, started := x.beginMove(runner)
		if !started {
			return
		}
		m.noticedAt = noticedAt
		if failed != "" {
			r.Excluded = append(r.Excluded, failed)
		}
		target, again := x.tryMove(m, r)
		if !again {
			return
		}
		failed = target
	}
}

// tryMove moves the stream once. It reports whether to try again, and at which target the
// move failed, if one was chosen.
func (x *exchange) tryMove(m *streamMove, r balance.Request) (failed string, again bool) {
	defer close(m.done)
	target, err := x.move(m, r)
	if err == nil {
		return "", false
	}
	x.recordNotMoved(m, err)
	return target, x.forgetMove(m)
}

// forgetMove allows another move of the current attempt. It returns false if the attempt
// has ended or its run may have been stopped.
func (x *exchange) forgetMove(m *streamMove) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.pendingMove != m || m.stop != nil {
		return false
	}
	x.pendingMove = nil
	return true
}

// awaitMoveTime waits for MoveDelay and until the stream can be moved. It fails when the
// context of the request ends.
func (x *exchange) awaitMoveTime(runner string) error {
	for wait := max(x.options.MoveDelay, x.moveObstacle(runner)); wait > 0; wait = x.moveObstacle(runner) {
		if err := clock.Sleep(x.ctx, x.Clock, wait); err != nil {
			return err
		}
	}
	return nil
}

// moveObstacle returns how long to wait before it is checked again whether the stream can be
// moved, or zero if it can be now. The runner may want no requests for a time, of which the
// request to copy a run is one. A stream is not moved while another attempt may replace the
// current one, which may yet go on.
func (x *exchange) moveObstacle(runner string) time.Duration {
	if pause := x.Balancer.PauseLeft(runner, x.Clock.Now()); pause > 0 {
		return pause
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.currentRunner == runner && x.replacements.exist() {
		return replaceCheckInterval
	}
	return 0
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
	// The KV cache of one version can't be read by another one.
	return x.pendingMove, x.bound(r, x.choice.Runner.Version, x.Clock.Now()), true
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

// isMoving reports whether the run of the current attempt is being stopped. The mutex must
// be held.
func (x *exchange) isMoving() bool {
	return x.pendingMove != nil && x.pendingMove.stop != nil && !x.pendingMove.hasEnded()
}

// recordNotMoved counts and logs a stream that was not moved.
func (x *exchange) recordNotMoved(m *streamMove, cause error) {
	x.Count("Streams.NotMoved", 1)
	x.Log.Info("StreamStays", "Request", x.call.ID, "Runner", m.source.Runner.ID, "Version", m.source.Runner.Version, "Reason", cause.Error())
}

// releaseMove gives back the runner of a move that the request no longer needs. The move
// may still be in progress; the answer does not wait for its end.
func (x *exchange) releaseMove() {
	if m, _ := x.takeMove(); m != nil {
		x.dropMove(m)
	}
}

// takeMove ends the wait for the move of the current attempt and returns it, or nil.
// stopping is false if the run was not stopped and no longer will be.
func (x *exchange) takeMove() (m *streamMove, stopping bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	m = x.pendingMove
	x.pendingMove = nil
	return m, m != nil && m.stop != nil
}

// dropMove gives back what a move holds, once it has ended.
func (x *exchange) dropMove(m *streamMove) {
	go func() {
		<-m.done
		if m.run != nil {
			x.releaseTarget(m.target)
			x.freeCopy(m.run.Handle, m.source.Runner, m.target.choice.Runner)
		}
	}()
}

// awaitMove returns the move that ended the attempt, or nil. It waits for the answer to
// the request to stop the run, but not for a copy: a run that broke off by itself can't
// be stopped any more.
func (x *exchange) awaitMove() *streamMove {
	m, stopping := x.takeMove()
	if !stopping {
		return nil
	}
	select {
	case <-m.done:
	case <-x.ctx.Done():
		x.dropMove(m)
		return nil
	}
	if m.run == nil {
		return nil
	}
	return m
}
