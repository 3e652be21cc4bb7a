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

// serveStream carries a request whose answer is a series of events. Whole events
// are passed on as they come; a stream that breaks off goes on at another runner
// where the route allows it.
func (v *visit) serveStream() {
	v.lastEvent = v.call.LastEvent
	ticket, err := v.choose()
	for {
		if err != nil {
			v.giveUp(err, reasonOf(err))
			return
		}
		failure := v.attemptStream(ticket)
		if failure == nil {
			return
		}
		if d := v.departed(); d != nil && v.ctx.Err() == nil {
			ticket = v.follow(ticket, d)
			continue
		}
		v.settle(ticket, failure)
		again, reason := v.mayRetry(failure)
		if !again {
			v.giveUp(failure, reason)
			return
		}
		ticket, err = v.chooseAgain()
	}
}

// chooseAgain picks the runner after a failure. A stopped run that its new
// runner did not take goes back to where it was stopped; when that fails too,
// its memory is lost, and only a stream that can be resumed goes on.
func (v *visit) chooseAgain() (*balance.Ticket, error) {
	if v.continues == nil {
		return v.choose()
	}
	if v.stoppedAt != nil {
		v.setChoice(*v.stoppedAt)
		v.stoppedAt = nil
		return v.Balancer.Return(v.choice.Runner.ID), nil
	}
	v.continues = nil
	if !v.route.Repeatable() {
		return nil, &LostRunError{Runner: v.choice.Runner.ID}
	}
	return v.choose()
}

// follow prepares the attempt that goes on with a run that was moved.
func (v *visit) follow(ticket *balance.Ticket, d *departure) *balance.Ticket {
	ticket.End(balance.Cancelled, v.Clock.Now())
	v.apply(request.AttemptSuspended)
	v.continues, v.stoppedAt = d.run, nil
	if v.choice.Runner.ID != d.choice.Runner.ID {
		source := v.choice
		v.stoppedAt = &source
	}
	v.setChoice(d.choice)
	return d.ticket
}

// attemptStream makes one attempt. It returns nil when the caller has the whole
// stream, or another answer of the runner.
func (v *visit) attemptStream(ticket *balance.Ticket) error {
	ctx, cancel := context.WithCancelCause(v.ctx)
	defer cancel(nil)
	silence := v.watchSilence(ticket, cancel)
	defer silence.stop()
	runner := v.choice.Runner.ID
	v.enter(runner)
	defer v.exit(runner)
	answer, err := v.send(ctx)
	if err != nil {
		return err
	}
	if err := v.judge(answer); err != nil {
		v.discard(answer, err)
		return err
	}
	if answer.Status != http.StatusOK {
		return v.passStatus(ticket, answer)
	}
	if err := v.relay(ctx, ticket, answer, silence); err != nil {
		answer.Close(false)
		return err
	}
	answer.Close(true)
	v.succeed(ticket, answer.Status)
	return nil
}

// passStatus handles an answer that is no stream.
func (v *visit) passStatus(ticket *balance.Ticket, answer *upstream.Answer) error {
	body, err := answer.ReadAll()
	answer.Close(err == nil)
	if err != nil {
		return err
	}
	whole := wholeAnswer{status: answer.Status, header: answer.Header, body: body}
	if v.headWritten || v.isRunnerFault(whole) && (v.route.Repeatable() || !mayPass(answer.Status)) {
		return &StatusError{Runner: v.choice.Runner.ID, Status: answer.Status}
	}
	v.pass(ticket, whole)
	return nil
}

// relay passes on the events of a runner until the stream ends.
func (v *visit) relay(ctx context.Context, ticket *balance.Ticket, answer *upstream.Answer, silence *silenceWatch) error {
	controller := http.NewResponseController(v.writer)
	events := newEventReader(answer)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			v.writeHead(answer)
			return nil
		}
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return &upstream.BrokenError{Address: v.choice.Runner.Address, Cause: err}
		}
		if err := v.checkOrder(e); err != nil {
			return &upstream.BrokenError{Address: v.choice.Runner.Address, Cause: err}
		}
		silence.heard(v.Clock.Now())
		if !v.headWritten || v.machine.State() == request.Dispatched {
			ticket.Started()
			v.apply(request.AnswerBegan)
			v.noteFirstEvent()
		}
		v.writeHead(answer)
		if _, err := v.writer.Write(e.content); err != nil {
			return &upstream.BrokenError{Address: v.choice.Runner.Address, Cause: err}
		}
		if err := controller.Flush(); err != nil {
			return &upstream.BrokenError{Address: v.choice.Runner.Address, Cause: err}
		}
		if e.hasID {
			v.lastEvent = e.id
		}
	}
}

// noteFirstEvent takes the time to the first event that the caller gets.
func (v *visit) noteFirstEvent() {
	if v.firstEvent > 0 {
		return
	}
	v.firstEvent = v.Clock.Since(v.accepted)
	v.Meters.Time(v.route.Kind.String(), metric.FirstEvent, v.firstEvent)
}

// checkOrder refuses an event that does not follow the last one.
func (v *visit) checkOrder(e event) error {
	if e.hasID && e.id != v.lastEvent+1 {
		return &EventError{Want: v.lastEvent + 1, Got: e.id}
	}
	return nil
}

// writeHead writes the head of the first runner's answer, once.
func (v *visit) writeHead(answer *upstream.Answer) {
	if v.headWritten {
		return
	}
	v.headWritten = true
	v.copyHeader(answer.Header)
	v.writer.WriteHeader(answer.Status)
}
