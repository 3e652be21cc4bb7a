package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

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
	ticket, err := x.choose()
	for {
		if err != nil {
			x.giveUp(err, reasonOf(err))
			return
		}
		failure := x.attemptStream(ticket)
		if failure == nil {
			return
		}
		move := x.awaitMove()
		if move != nil && x.ctx.Err() == nil {
			ticket = x.continueAfterMove(ticket, move)
			continue
		}
		if move != nil {
			x.dropMove(move)
		}
		x.recordFailure(ticket, failure)
		again, reason := x.mayRetry(failure)
		if !again {
			x.giveUp(failure, reason)
			return
		}
		ticket, err = x.chooseAgain()
	}
}

// chooseAgain chooses the runner after a failure. A stopped run that the new runner
// did not continue returns to the runner where it was stopped. If that fails too,
// its KV cache is lost, and only a resumable stream is attempted again.
func (x *exchange) chooseAgain() (*balance.Ticket, error) {
	if x.continuedRun == nil || x.isNextSecured() {
		return x.choose()
	}
	if ticket := x.returnToSource(); ticket != nil {
		return ticket, nil
	}
	x.continuedRun = nil
	if !x.route.Repeatable() {
		return nil, &RunLostError{Runner: x.choice.Runner.ID}
	}
	return x.choose()
}

// continueAfterMove prepares the attempt that continues a run that was moved.
func (x *exchange) continueAfterMove(ticket *balance.Ticket, move *streamMove) *balance.Ticket {
	ticket.End(balance.Cancelled, x.Clock.Now())
	x.apply(request.AttemptSuspended)
	x.continuedRun, x.stoppedAt = move.run, nil
	if x.choice.Runner.ID != move.target.choice.Runner.ID {
		source := x.choice
		x.stoppedAt = &source
	}
	x.setChoice(move.target.choice)
	return move.target.ticket
}

// attemptStream makes one attempt. It returns nil when the caller has received the
// complete stream, or a response of the runner that is no stream.
func (x *exchange) attemptStream(ticket *balance.Ticket) error {
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	watchdog := x.startIdleWatchdog(ticket, cancel)
	defer watchdog.stop()
	runner := x.choice.Runner.ID
	x.registerStream(runner)
	defer x.unregisterStream(runner)
	answer, err := x.send(ctx)
	if err != nil {
		return err
	}
	if err := x.checkAnswerHead(answer); err != nil {
		x.discard(answer, err)
		return err
	}
	if answer.Status != http.StatusOK {
		return x.forwardNonStream(ctx, ticket, answer)
	}
	if err := x.relayEvents(ctx, ticket, answer, watchdog); err != nil {
		answer.Close(false)
		return err
	}
	answer.Close(true)
	x.succeed(ticket, answer.Status)
	return nil
}

// forwardNonStream handles a response that is no event stream.
func (x *exchange) forwardNonStream(ctx context.Context, ticket *balance.Ticket, answer *upstream.Answer) error {
	buffered, err := x.readAnswer(ctx, answer)
	if err != nil {
		return err
	}
	if x.headWritten || x.isRunnerFault(buffered) && (x.route.Repeatable() || !mayForward(answer.Status)) {
		return &StatusError{Runner: x.choice.Runner.ID, Status: answer.Status}
	}
	x.forwardAnswer(ticket, buffered)
	return nil
}

// relayEvents forwards the events of a runner until the stream ends.
func (x *exchange) relayEvents(ctx context.Context, ticket *balance.Ticket, answer *upstream.Answer, watchdog *idleWatchdog) error {
	controller := http.NewResponseController(x.writer)
	events := newEventReader(answer)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			x.writeHead(answer)
			return nil
		}
		if err != nil {
			return x.readFailure(ctx, err)
		}
		if err := x.checkOrder(e); err != nil {
			return &upstream.InvalidAnswerError{Address: x.choice.Runner.Address, Cause: err}
		}
		watchdog.recordEvent(x.Clock.Now())
		if !x.headWritten || x.machine.State() == request.Dispatched {
			ticket.Started()
			x.apply(request.AnswerBegan)
			x.recordFirstEvent()
		}
		x.writeHead(answer)
		if _, err := x.writer.Write(e.content); err != nil {
			return &CallerWriteError{Cause: err}
		}
		if err := controller.Flush(); err != nil {
			return &CallerWriteError{Cause: err}
		}
		if e.hasID {
			x.lastEvent = e.id
		}
	}
}

// recordFirstEvent measures the time to the first event that the caller gets.
func (x *exchange) recordFirstEvent() {
	if x.firstEvent > 0 {
		return
	}
	x.firstEvent = x.Clock.Since(x.accepted)
	x.Meters.ObservePhase(x.route.Kind.String(), metric.FirstEvent, x.firstEvent)
}

// checkOrder rejects an event that does not follow the previous one.
func (x *exchange) checkOrder(e event) error {
	if e.hasID && e.id != x.lastEvent+1 {
		return &EventOrderError{Want: x.lastEvent + 1, Got: e.id}
	}
	return nil
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
