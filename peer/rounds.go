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

// pushInterval is the least time between two pushes of urgent notices.
const pushInterval = 50 * time.Millisecond

// seenProcess is a process that a message came from.
type seenProcess struct {
	incarnation string
	// stamp is that of the newest message; messages of an earlier process
	// may arrive after those of its successor.
	stamp timeline.Stamp
}

// rounds starts the exchanges of each interval.
func (m *Mesh) rounds(ctx context.Context) {
	ticker := m.common.Clock.NewTicker(m.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		m.Tell()
		m.mutex.Lock()
		peers := m.core.Round(m.common.Clock.Now())
		m.mutex.Unlock()
		for _, peer := range peers {
			m.enqueue(m.exchanges, peer)
		}
	}
}

// exchange carries out the exchanges that the rounds start, a few at a time,
// so that a silent peer does not hold up the others.
func (m *Mesh) exchange(ctx context.Context) {
	each(ctx, m.exchanges, m.exchangeWith)
}

func (m *Mesh) exchangeWith(ctx context.Context, peer hosting.VM) {
	sent := m.request(peer)
	request := encodeMessage(sent)
	var reply *peerpb.Digest
	err := m.client.call(ctx, peer, "Exchange", m.options.CallTimeout,
		func(ctx context.Context, client peerpb.DRPCPeerClient) (err error) {
			reply, err = client.Exchange(ctx, request)
			return err
		})
	if err != nil {
		m.failed(ctx, peer, err)
		return
	}
	message := decodeMessage(reply)
	if message.Sender.Daemon != peer.Name {
		m.failed(ctx, peer, &MisdirectedError{Wanted: peer.Name, Found: message.Sender.Daemon})
		return
	}
	m.delivered(peer, sent)
	m.receive(message)
}

// notify pushes the notices that cannot wait for the next exchange.
func (m *Mesh) notify(ctx context.Context) {
	each(ctx, m.notices, m.notifyPeer)
}

func (m *Mesh) notifyPeer(ctx context.Context, peer hosting.VM) {
	sent := m.request(peer)
	sent.Known = nil
	request := encodeMessage(sent)
	var receipt *peerpb.Receipt
	err := m.client.call(ctx, peer, "Tell", m.options.CallTimeout,
		func(ctx context.Context, client peerpb.DRPCPeerClient) (err error) {
			receipt, err = client.Tell(ctx, request)
			return err
		})
	if err != nil {
		m.failed(ctx, peer, err)
		return
	}
	m.delivered(peer, sent)
	identity, stamp := decodeSender(receipt.GetSender())
	m.notice(identity, stamp)
}

// spread has the urgent notices sent. Several that come at once go out in the
// same messages.
func (m *Mesh) spread() { _ = m.spreads.Put(struct{}{}) }

// push sends the urgent notices to some peers, at most once in pushInterval.
func (m *Mesh) push(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.spreads.Values():
		}
		m.mutex.Lock()
		peers := m.core.Urgent(m.common.Clock.Now())
		m.mutex.Unlock()
		for _, peer := range peers {
			m.enqueue(m.notices, peer)
		}
		if clock.Sleep(ctx, m.common.Clock, pushInterval) != nil {
			return
		}
	}
}

func (m *Mesh) request(peer hosting.VM) gossip.Message {
	stamp := m.stamps.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.core.Request(peer.Name, stamp)
}

func (m *Mesh) delivered(peer hosting.VM, request gossip.Message) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.core.Delivered(peer.Name, request)
}

// receive merges a message that asks for no answer.
func (m *Mesh) receive(message gossip.Message) {
	m.notice(message.Sender, message.Stamp)
	m.mutex.Lock()
	news := m.core.Receive(message, m.common.Clock.Now())
	m.mutex.Unlock()
	m.hand(news)
}

// hand gives news to the handler, passes on what is urgent, and starts the
// fetch of a newer configuration.
func (m *Mesh) hand(news Digest) {
	m.handler.Merge(news)
	if len(news.Leaving) > 0 || len(news.Suspects) > 0 {
		m.spread()
	}
	_, offset := m.handler.Configuration()
	if news.ConfigurationOffset <= offset {
		return
	}
	m.mutex.Lock()
	m.newest = max(m.newest, news.ConfigurationOffset)
	m.mutex.Unlock()
	if peer, err := m.peer(news.Daemon); err == nil {
		_ = m.fetches.Put(peer)
	}
}

// notice takes note of the process that a message came from.
func (m *Mesh) notice(sender gossip.Identity, stamp timeline.Stamp) {
	m.stamps.Observe(stamp)
	m.mutex.Lock()
	found := m.core.Reached(sender.Daemon)
	old, known := m.seen[sender.Daemon]
	newest := !known || !stamp.Before(old.stamp)
	if newest {
		m.seen[sender.Daemon] = seenProcess{incarnation: sender.Incarnation, stamp: stamp}
	}
	m.mutex.Unlock()
	if known && newest && old.incarnation != sender.Incarnation {
		m.record("PeerRestarted", sender.Daemon)
	}
	if found {
		m.common.Log.Info("peer found", "Peer", sender.Daemon)
		m.record("PeerFound", sender.Daemon)
	}
}

func (m *Mesh) record(kind, peer string) {
	m.common.Events.Record(telemetry.Event{Kind: kind, Detail: peer})
}

// failed notes a failed call. A call that the daemon's own stop ended says
// nothing about the peer.
func (m *Mesh) failed(ctx context.Context, peer hosting.VM, cause error) {
	if ctx.Err() != nil {
		return
	}
	m.mutex.Lock()
	first := m.core.Failed(peer.Name, m.common.Clock.Now())
	m.mutex.Unlock()
	if first {
		m.common.Log.Info("peer lost", "Peer", peer.Name, "Cause", cause)
		m.record("PeerLost", peer.Name)
	}
}
