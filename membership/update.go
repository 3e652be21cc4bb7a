package membership

import (
	"context"
	"sync"

	"github.com/cranberrywalk/cranberrywalk/feed"
)

// updateQueueSize bounds the updates that wait to be sent. Other daemons read the
// records of a dropped update in their next round.
const updateQueueSize = 16

// updateMessage carries an update from one daemon to another.
type updateMessage struct {
	Sender Member
	Update feed.Update
}

// acknowledgement is the reply to a call that returns nothing.
type acknowledgement struct{}

// outgoingUpdate is an update to send.
type outgoingUpdate struct {
	update feed.Update
	// sender is the daemon that sent it to this one; empty for an update that
	// this daemon has read itself.
	sender Member
}

// Broadcast implements feed.Peers. It never blocks.
func (g *Group) Broadcast(update feed.Update) { g.enqueue(outgoingUpdate{update: update}) }

func (g *Group) enqueue(out outgoingUpdate) {
	select {
	case g.updates <- out:
	default:
		g.common.Count("Membership.NewsDropped", 1)
	}
}

// receiveUpdate applies an update of another daemon. A relay forwards one from
// another zone to its own zone.
func (g *Group) receiveUpdate(message updateMessage) {
	g.handler.ApplyUpdate(message.Update)
	if message.Sender.Zone != g.options.Self.Zone {
		g.enqueue(outgoingUpdate{update: message.Update, sender: message.Sender})
	}
}

// broadcastUpdates sends queued updates until ctx ends.
func (g *Group) broadcastUpdates(ctx context.Context, calls *sync.WaitGroup) {
	for {
		select {
		case <-ctx.Done():
			return
		case out := <-g.updates:
			for _, p := range g.updateTargets(out.sender) {
				calls.Go(func() { g.sendUpdate(ctx, p, out.update) })
			}
		}
	}
}

// updateTargets returns the daemons to send an update to, and marks them. A
// daemon to which an earlier update is still being sent is left out.
func (g *Group) updateTargets(sender Member) []*peer {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	topo := g.currentTopology(now)
	var targets []*peer
	for _, p := range g.peers {
		if p.updateInFlight || !g.isAlive(p, now) || !topo.sendsUpdate(p.member, sender) {
			continue
		}
		p.updateInFlight = true
		targets = append(targets, p)
	}
	return targets
}

func (g *Group) sendUpdate(ctx context.Context, p *peer, update feed.Update) {
	ctx, cancel := context.WithTimeout(ctx, g.options.Timeout)
	defer cancel()
	g.mutex.Lock()
	address := p.member.Address
	g.mutex.Unlock()
	message := updateMessage{Sender: g.options.Self, Update: update}
	if err := g.client.call(ctx, address, callUpdate, &message, &acknowledgement{}); err != nil {
		g.common.Count("Membership.NewsFailed", 1)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p.updateInFlight = false
}
