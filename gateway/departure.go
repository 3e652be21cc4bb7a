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
	// source is the choice of the attempt that is left.
	source balance.Choice
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
	v.mutex.Lock()
	v.at = runner
	v.mutex.Unlock()
	v.Gateway.mutex.Lock()
	defer v.Gateway.mutex.Unlock()
	if v.streams[runner] == nil {
		v.streams[runner] = make(map[*visit]struct{})
	}
	v.streams[runner][v] = struct{}{}
}

func (v *visit) exit(runner string) {
	v.mutex.Lock()
	v.at = ""
	v.mutex.Unlock()
	v.Gateway.mutex.Lock()
	defer v.Gateway.mutex.Unlock()
	delete(v.streams[runner], v)
	if len(v.streams[runner]) == 0 {
		delete(v.streams, runner)
	}
}

// depart stops the run at its runner and has its memory copied to another one.
// The stream then breaks off and goes on from there.
func (v *visit) depart(runner string) {
	if clock.Sleep(v.ctx, v.Clock, v.options.MoveAfter) != nil {
		return
	}
	d, need, leaves := v.beginDeparture(runner)
	if !leaves {
		return
	}
	defer close(d.done)
	v.move(d, need)
}

// beginDeparture returns a departure from the runner, and what the request needs
// of the next one, if the stream is still there.
func (v *visit) beginDeparture(runner string) (*departure, balance.Need, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.at != runner || v.leaving != nil {
		return nil, balance.Need{}, false
	}
	v.leaving = &departure{done: make(chan struct{}), source: v.choice}
	need := v.need()
	need.Excluded = append(need.Excluded, runner)
	return v.leaving, need, true
}

func (v *visit) move(d *departure, need balance.Need) {
	if !v.Retries.Take(v.service, v.Group.Known(), v.Clock.Now()) {
		v.noteStay(d, "RetryBudgetUsedUp")
		return
	}
	choice, ticket, err := v.Balancer.Choose(need, v.Clock.Now())
	if err != nil {
		v.noteStay(d, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(v.ctx, v.options.MoveTimeout)
	defer cancel()
	source := d.source.Runner
	run, copied, err := v.Mover.Stop(ctx, source.Address, v.call.ID, choice.Runner.Address)
	if err != nil {
		ticket.End(balance.Cancelled, v.Clock.Now())
		v.noteStay(d, err.Error())
		return
	}
	if !copied {
		ticket.End(balance.Cancelled, v.Clock.Now())
		choice, ticket = d.source, v.Balancer.Return(source.ID)
	}
	d.run, d.choice, d.ticket = &run, choice, ticket
	v.Count("Streams.Moved", 1)
	v.Log.Info("StreamMoved", "Request", v.call.ID, "From", source.ID, "To", choice.Runner.ID, "Copied", copied)
}

// noteStay tells why a stream was left where it is.
func (v *visit) noteStay(d *departure, reason string) {
	v.Count("Streams.NotMoved", 1)
	v.Log.Info("StreamStays", "Request", v.call.ID, "Runner", d.source.Runner.ID, "Reason", reason)
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
