package gateway

import (
	"context"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/clock"
)

// departure is the move of one stream away from a runner that leaves.
type departure struct {
	// done is closed when the move has succeeded or failed.
	done chan struct{}
	// run is the stopped run, or nil when the stream was left where it is. It
	// is set before done is closed.
	run *call.StoppedRun
	// choice and ticket are those of the runner where the run goes on.
	choice balance.Choice
	ticket *balance.Ticket
}

// Leave moves the streams away from a runner that is leaving.
func (g *Gateway) Leave(runner string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for v := range g.streams[runner] {
		go v.depart(runner)
	}
}

// enter notes that the stream is at a runner, and exit that it is no longer.
func (v *visit) enter(runner string) {
	v.Gateway.mutex.Lock()
	defer v.Gateway.mutex.Unlock()
	if v.streams[runner] == nil {
		v.streams[runner] = make(map[*visit]struct{})
	}
	v.streams[runner][v] = struct{}{}
}

func (v *visit) exit(runner string) {
	v.Gateway.mutex.Lock()
	defer v.Gateway.mutex.Unlock()
	delete(v.streams[runner], v)
	if len(v.streams[runner]) == 0 {
		delete(v.streams, runner)
	}
}

// isAt reports whether the stream is at a runner.
func (v *visit) isAt(runner string) bool {
	v.Gateway.mutex.Lock()
	defer v.Gateway.mutex.Unlock()
	_, there := v.streams[runner][v]
	return there
}

// depart stops the run at its runner and has its memory copied to another one.
// The stream then breaks off and goes on from there.
func (v *visit) depart(runner string) {
	if clock.Sleep(v.ctx, v.Clock, v.options.MoveAfter) != nil || !v.isAt(runner) {
		return
	}
	d := &departure{done: make(chan struct{})}
	v.mutex.Lock()
	if v.leaving != nil {
		v.mutex.Unlock()
		return
	}
	v.leaving = d
	source := v.choice
	v.mutex.Unlock()
	defer close(d.done)
	v.move(d, source)
}

func (v *visit) move(d *departure, source balance.Choice) {
	if !v.Retries.Take(v.service, v.Group.Known(), v.Clock.Now()) {
		v.Log.Info("StreamStays", "Request", v.call.ID, "Runner", source.Runner.ID, "Reason", "RetryBudgetUsedUp")
		return
	}
	need := v.need()
	need.Excluded = append(need.Excluded, source.Runner.ID)
	choice, ticket, err := v.Balancer.Choose(need, v.Clock.Now())
	if err != nil {
		v.Log.Info("StreamStays", "Request", v.call.ID, "Runner", source.Runner.ID, "Reason", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(v.ctx, v.options.MoveTimeout)
	defer cancel()
	run, copied, err := v.Mover.Stop(ctx, source.Runner.Address, v.call.ID, choice.Runner.Address)
	if err != nil {
		ticket.End(balance.Cancelled, v.Clock.Now())
		v.Count("Streams.NotMoved", 1)
		v.Log.Info("StreamStays", "Request", v.call.ID, "Runner", source.Runner.ID, "Reason", err.Error())
		return
	}
	if !copied {
		ticket.End(balance.Cancelled, v.Clock.Now())
		choice, ticket = source, v.Balancer.Return(source.Runner.ID)
	}
	d.run, d.choice, d.ticket = &run, choice, ticket
	v.Count("Streams.Moved", 1)
	v.Log.Info("StreamMoved", "Request", v.call.ID, "From", source.Runner.ID, "To", choice.Runner.ID, "Copied", copied)
}

// departed returns the move that ended the attempt, or nil. It waits for one
// that is under way.
func (v *visit) departed() *departure {
	v.mutex.Lock()
	d := v.leaving
	v.leaving = nil
	v.mutex.Unlock()
	if d == nil {
		return nil
	}
	<-d.done
	if d.run == nil {
		return nil
	}
	return d
}
