package membership

import (
	"context"
	"sync"

	"github.com/cranberrywalk/cranberrywalk/feed"
)

// updateQueueSize bounds the updates that wait to be sent. Other daemons read the
// records of a dropped update in their next round.
const updateQueueSize = 16

// maxPendingUpdates bounds the updates that wait for one daemon.
const maxPendingUpdates = 8

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
			for _, p := range g.updateTargets(out) {
				calls.Go(func() { g.sendUpdates(ctx, p, out.update) })
			}
		}
	}
}

// updateTargets returns the daemons to send an update to now, and marks them. For a
// daemon to which an earlier update is still being sent, the update waits.
func (g *Group) updateTargets(out outgoingUpdate) []*peer {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	topo := g.currentTopology(now)
	var targets []*peer
	for _, p := range g.peers {
		if !g.isAlive(p, now) || !topo.sendsUpdate(p.member, out.sender) {
			continue
		}
		if p.updateInFlight {
			g.addPending(p, out.update)
			continue
		}
		p.updateInFlight = true
		targets = append(targets, p)
	}
	return targets
}

// addPending makes an update wait for the one that is being sent. It is called with the
// mutex held.
func (g *Group) addPending(p *peer, update feed.Update) {
	if len(p.pendingUpdates) >= maxPendingUpdates {
		g.common.Count("Membership.NewsDropped", 1)
		return
	}
	p.pendingUpdates = append(p.pendingUpdates, update)
}

// sendUpdates sends an update to a daemon, and then those that have come to wait for it.
// After a failure they are dropped: the daemon reads the records in its next round.
func (g *Group) sendUpdates(ctx context.Context, p *peer, update feed.Update) {
	for {
		err := g.sendUpdate(ctx, p, update)
		if err != nil {
			g.common.Count("Membership.NewsFailed", 1)
		}
		next, found := g.nextPending(p, err == nil)
		if !found {
			return
		}
		update = next
	}
}

// nextPending returns the next update for a daemon, or marks it as idle.
func (g *Group) nextPending(p *peer, delivered bool) (feed.Update, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !delivered || len(p.pendingUpdates) == 0 {
		p.updateInFlight, p.pendingUpdates = false, nil
		return feed.Update{}, false
	}
	next := p.pendingUpdates[0]
	p.pendingUpdates = p.pendingUpdates[1:]
	return next, true
}

func (g *Group) sendUpdate(ctx context.Context, p *peer, update feed.Update) error {
	ctx, cancel := context.WithTimeout(ctx, g.options.Timeout)
	defer cancel()
	g.mutex.Lock()
	address := p.member.Address
	g.mutex.Unlock()
	message := updateMessage{Sender: g.options.Self, Update: update}
	return g.client.call(ctx, address, callUpdate, &message, &acknowledgement{})
}
