package peer

import (
	"context"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/peer/gossip"
	"github.com/cranberrywalk/cranberrywalk/peer/peerpb"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/timeline"
)

// pushInterval is the minimum time between two pushes of urgent notices.
const pushInterval = 50 * time.Millisecond

// seenProcess is a process on another VM that a message came from.
type seenProcess struct {
	incarnation string
	// stamp is the timestamp of its newest message. It is compared because
	// messages of an earlier process may arrive after those of its successor.
	stamp timeline.Stamp
}

// runRounds starts a gossip round in each interval.
func (m *Mesh) runRounds(ctx context.Context) {
	ticker := m.common.Clock.NewTicker(m.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		m.Publish()
		m.mutex.Lock()
		peers := m.core.Round(m.common.Clock.Now())
		m.mutex.Unlock()
		for _, peer := range peers {
			m.enqueue(m.exchanges, peer)
		}
	}
}

// runExchanges performs the exchanges that the rounds queue, several in parallel so
// that an unresponsive peer does not delay the others.
func (m *Mesh) runExchanges(ctx context.Context) {
	forEachPeer(ctx, m.exchanges, m.exchangeWith)
}

// exchangeWith sends a request to the peer and merges the reply.
func (m *Mesh) exchangeWith(ctx context.Context, peer hosting.VM) {
	sent := m.newRequest(peer)
	request := encodeMessage(sent)
	var reply *peerpb.Digest
	err := m.client.call(ctx, peer, "Exchange", m.options.CallTimeout,
		func(ctx context.Context, client peerpb.DRPCPeerClient) (err error) {
			reply, err = client.Exchange(ctx, request)
			return err
		})
	if err != nil {
		m.recordFailure(ctx, peer, err)
		return
	}
	message := decodeMessage(reply)
	if message.Sender.Daemon != peer.Name {
		m.recordFailure(ctx, peer, &MisdirectedError{Wanted: peer.Name, Found: message.Sender.Daemon})
		return
	}
	m.markDelivered(peer, sent)
	m.receive(message)
}

// sendNotices sends the urgent notices to the queued peers.
func (m *Mesh) sendNotices(ctx context.Context) {
	forEachPeer(ctx, m.notices, m.sendNoticesTo)
}

// sendNoticesTo sends the peer the notices that it has not acknowledged.
func (m *Mesh) sendNoticesTo(ctx context.Context, peer hosting.VM) {
	sent := m.newRequest(peer)
	sent.KnownVersions = nil
	request := encodeMessage(sent)
	var receipt *peerpb.Receipt
	err := m.client.call(ctx, peer, "Tell", m.options.CallTimeout,
		func(ctx context.Context, client peerpb.DRPCPeerClient) (err error) {
			receipt, err = client.Tell(ctx, request)
			return err
		})
	if err != nil {
		m.recordFailure(ctx, peer, err)
		return
	}
	m.markDelivered(peer, sent)
	identity, stamp := decodeSender(receipt.GetSender())
	m.observeSender(identity, stamp)
}

// requestPush schedules a push of the urgent notices. Notices that arrive in quick
// succession are sent in the same messages.
func (m *Mesh) requestPush() { _ = m.pushRequests.Put(struct{}{}) }

// runPushes queues the peers that urgent notices go to, at most once per
// pushInterval.
func (m *Mesh) runPushes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.pushRequests.Values():
		}
		m.mutex.Lock()
		peers := m.core.PushTargets(m.common.Clock.Now())
		m.mutex.Unlock()
		for _, peer := range peers {
			m.enqueue(m.notices, peer)
		}
		if clock.Sleep(ctx, m.common.Clock, pushInterval) != nil {
			return
		}
	}
}

func (m *Mesh) newRequest(peer hosting.VM) gossip.Message {
	stamp := m.stamps.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.core.Request(peer.Name, stamp)
}

func (m *Mesh) markDelivered(peer hosting.VM, request gossip.Message) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.core.MarkDelivered(peer.Name, request)
}

// receive merges a message that needs no reply.
func (m *Mesh) receive(message gossip.Message) {
	m.observeSender(message.Sender, message.Stamp)
	m.mutex.Lock()
	update := m.core.Receive(message, m.common.Clock.Now())
	m.mutex.Unlock()
	m.handleUpdate(update)
}

// handleUpdate passes the new facts to the handler, schedules a push when they
// include notices, and queues the fetch of a newer configuration.
func (m *Mesh) handleUpdate(update Digest) {
	m.handler.Merge(update)
	if len(update.Leaving) > 0 || len(update.Suspects) > 0 {
		m.requestPush()
	}
	_, offset := m.handler.Configuration()
	if update.ConfigurationOffset <= offset {
		return
	}
	m.mutex.Lock()
	m.newestOffset = max(m.newestOffset, update.ConfigurationOffset)
	m.mutex.Unlock()
	if peer, err := m.lookUpPeer(update.Daemon); err == nil {
		_ = m.fetches.Put(peer)
	}
}

// observeSender records the process that a message came from, advances the local
// timestamps past the message's, and clears the backoff of the peer.
func (m *Mesh) observeSender(sender gossip.Identity, stamp timeline.Stamp) {
	m.stamps.Observe(stamp)
	m.mutex.Lock()
	recovered := m.core.MarkReachable(sender.Daemon)
	old, known := m.seen[sender.Daemon]
	newest := !known || !stamp.Before(old.stamp)
	if newest {
		m.seen[sender.Daemon] = seenProcess{incarnation: sender.Incarnation, stamp: stamp}
	}
	m.mutex.Unlock()
	if known && newest && old.incarnation != sender.Incarnation {
		m.recordEvent("PeerRestarted", sender.Daemon)
	}
	if recovered {
		m.common.Log.Info("peer is reachable again", "Peer", sender.Daemon)
		m.recordEvent("PeerFound", sender.Daemon)
	}
}

func (m *Mesh) recordEvent(kind, peer string) {
	m.common.Events.Record(telemetry.Event{Kind: kind, Detail: peer})
}

// recordFailure records a failed call, unless the daemon's own shutdown cancelled
// the call, which does not indicate a fault of the peer.
func (m *Mesh) recordFailure(ctx context.Context, peer hosting.VM, cause error) {
	if ctx.Err() != nil {
		return
	}
	m.mutex.Lock()
	first := m.core.MarkFailed(peer.Name, m.common.Clock.Now())
	m.mutex.Unlock()
	if first {
		m.common.Log.Info("peer call failed", "Peer", peer.Name, "Cause", cause)
		m.recordEvent("PeerLost", peer.Name)
	}
}
