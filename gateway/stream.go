package gateway

import (
	"errors"
	"io"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/metric"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// serveStream serves a request whose response is a stream of events. Complete
// events are forwarded as they arrive. A stream that breaks off is continued at
// another runner if the route is resumable.
func (x *exchange) serveStream() {
	x.lastEvent = x.call.LastEvent
	a, err := x.choose()
	for {
		if err != nil {
			x.giveUp(err, reasonOf(err))
			return
		}
		failure := x.attemptStream(a)
		if failure == nil {
			return
		}
		move := x.awaitMove()
		if move != nil && x.ctx.Err() == nil {
			a = x.continueAfterMove(a, move)
			continue
		}
		if move != nil {
			x.dropMove(move)
		}
		x.recordFailure(a, failure)
		again, reason := x.mayRetry(failure)
		if !again {
			x.giveUp(failure, reason)
			return
		}
		a, err = x.chooseAgain()
	}
}

// chooseAgain chooses the runner after a failure. A stopped run that the new runner
// did not continue returns to the runner where it was stopped. If that fails too,
// its KV cache is lost, and only a resumable stream is attempted again.
func (x *exchange) chooseAgain() (*attempt, error) {
	if x.continuedRun == nil || x.hasReplacement() {
		return x.choose()
	}
	if a := x.returnToSource(); a != nil {
		return a, nil
	}
	x.continuedRun = nil
	x.freeLastRun()
	if !x.route.Repeatable() {
		return nil, &RunLostError{Runner: x.choice.Runner.ID}
	}
	return x.choose()
}

// continueAfterMove prepares the attempt that continues a run that was moved.
func (x *exchange) continueAfterMove(a *attempt, move *streamMove) *attempt {
	a.end(balance.Cancelled, x.Clock.Now())
	x.apply(request.AttemptSuspended)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.continuedRun, x.stoppedAt, x.lastMove = move.run, nil, move
	if a.choice.Runner.ID != move.target.choice.Runner.ID {
		x.stoppedAt = &stoppedSource{choice: a.choice, leavesSince: move.noticedAt}
	}
	return x.newAttempt(move.target.choice, move.target.ticket, move.run)
}

// attemptStream makes one attempt. It returns nil when the caller has received the
// complete stream, or a response of the runner that is no stream.
func (x *exchange) attemptStream(a *attempt) error {
	defer a.cancel(nil)
	x.begin(a)
	watchdog := x.startIdleWatchdog(a)
	defer watchdog.stop()
	runner := a.choice.Runner.ID
	x.registerStream(runner)
	defer x.unregisterStream(runner)
	o, err := x.awaitOpening(a)
	if err != nil {
		return err
	}
	if o.buffered != nil {
		return x.forwardNonStream(a, *o.buffered)
	}
	err = x.relayEvents(a, o, watchdog)
	x.observeStreamEnd(a, o.answer, err)
	if err != nil {
		o.answer.Close(false)
		return err
	}
	o.answer.Close(true)
	x.succeed(a, o.answer.Status)
	return nil
}

// forwardNonStream handles a response that is no event stream.
func (x *exchange) forwardNonStream(a *attempt, answer bufferedAnswer) error {
	if x.headWritten {
		answer.drop()
		return &StatusError{Runner: a.choice.Runner.ID, Status: answer.status}
	}
	x.forwardAnswer(a, answer)
	return nil
}

// relayEvents forwards the events of a runner until the stream ends.
func (x *exchange) relayEvents(a *attempt, o opening, watchdog *idleWatchdog) error {
	p, runner := x.newWritePace(nil), runnerPace{ticket: a.ticket}
	for e, err := o.first, o.end; ; e, err = o.events.next() {
		if errors.Is(err, io.EOF) {
			return x.endStream(a, o.answer)
		}
		if err != nil {
			return x.readFailure(a, err)
		}
		if err := checkOrder(e, x.lastEvent); err != nil {
			return &upstream.InvalidAnswerError{Address: a.choice.Runner.Address, Cause: err}
		}
		if err := x.awaitRecord(a); err != nil {
			return err
		}
		arrived := x.Clock.Now()
		if !watchdog.recordEvent(e, arrived) {
			return &AttemptTimeoutError{Runner: a.choice.Runner.ID}
		}
		if !x.headWritten || x.machine.State() == request.Dispatched {
			a.ticket.Started()
			x.apply(request.AnswerBegan)
			x.recordFirstEvent()
		}
		x.rememberVersion(a)
		x.writeHead(o.answer)
		if err := x.writeEvent(p, e); err != nil {
			return err
		}
		runner.add(arrived, x.Clock.Now())
	}
}

// endStream ends a stream after its last event.
func (x *exchange) endStream(a *attempt, answer *upstream.Answer) error {
	if err := x.checkEnd(a, answer); err != nil {
		return err
	}
	x.writeHead(answer)
	return nil
}

// recordFirstEvent measures the time to the first event that the caller gets.
func (x *exchange) recordFirstEvent() {
	if x.firstEvent > 0 {
		return
	}
	x.firstEvent = x.Clock.Since(x.accepted)
	x.Meters.ObservePhase(x.route.Kind.String(), metric.FirstEvent, x.firstEvent)
	x.observeResponse(x.Clock.Now())
}

// checkOrder rejects an event that does not follow the previous one, or that does not say so.
func checkOrder(e event, last int) error {
	switch {
	case e.isRest:
		return nil
	case !e.hasID:
		return &MissingEventIDError{Want: last + 1}
	case e.id != last+1:
		return &EventOrderError{Want: last + 1, Got: e.id}
	default:
		return nil
	}
}

// writeHead writes the status and the header of the first runner's response, once.
func (x *exchange) writeHead(answer *upstream.Answer) {
	if x.headWritten {
		return
	}
	x.headWritten = true
	x.copyHeader(answer.Header)
	x.writer.WriteHeader(answer.Status)
}
