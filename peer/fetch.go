package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/peer/peerpb"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

const (
	// fetchPeers bounds the number of peers that a starting daemon asks for
	// a configuration.
	fetchPeers = 16
	// fetchDelay is the delay before a fetch, which gives the daemon time to
	// read the newer configuration from the log itself.
	fetchDelay = 300 * time.Millisecond
	// AnswerWait is how long one call waits for a recorded answer that is
	// still in progress. The caller then has to poll again.
	AnswerWait = 2 * time.Second
)

// FetchConfiguration asks up to fetchPeers peers for their configuration and returns
// the newest one. It is for a daemon that starts while the log is unavailable.
func (m *Mesh) FetchConfiguration(ctx context.Context) (snapshot []byte, offset uint64, err error) {
	m.mutex.Lock()
	peers := m.core.Nearest(fetchPeers)
	m.mutex.Unlock()
	replies := make([]*peerpb.ConfigurationReply, len(peers))
	var calls sync.WaitGroup
	for i, peer := range peers {
		calls.Go(func() { replies[i], _ = m.requestConfiguration(ctx, peer) })
	}
	calls.Wait()
	for _, reply := range replies {
		if reply.GetOffset() > offset {
			snapshot, offset = reply.GetSnapshot(), reply.GetOffset()
		}
	}
	if offset == 0 {
		return nil, 0, &NoConfigurationError{Asked: len(peers)}
	}
	return snapshot, offset, nil
}

// FetchAnswer asks a daemon for the recorded answer to a request that its process of the
// given incarnation has received. A *RestartedError means that this process has
// ended.
func (m *Mesh) FetchAnswer(ctx context.Context, daemon, incarnation, key string) (Answer, error) {
	peer, err := m.lookUpPeer(daemon)
	if err != nil {
		return Answer{}, err
	}
	var reply *peerpb.AnswerReply
	err = m.client.call(ctx, peer, "Answer", AnswerWait+m.options.CallTimeout,
		func(ctx context.Context, client peerpb.DRPCPeerClient) (err error) {
			reply, err = client.Answer(ctx, &peerpb.AnswerRequest{Sender: m.sender(), Key: key})
			return err
		})
	if err != nil {
		return Answer{}, err
	}
	sender, stamp := decodeSender(reply.GetSender())
	m.observeSender(sender, stamp)
	if sender.Daemon != daemon {
		return Answer{}, &MisdirectedError{Wanted: daemon, Found: sender.Daemon}
	}
	if sender.Incarnation != incarnation {
		return Answer{}, &RestartedError{Peer: daemon, Wanted: incarnation, Found: sender.Incarnation}
	}
	return decodeAnswer(reply), nil
}

// runFetches fetches newer configurations from the queued peers.
func (m *Mesh) runFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-m.fetches.Values():
			if clock.Sleep(ctx, m.common.Clock, fetchDelay) == nil {
				m.fetchFrom(ctx, peer)
			}
		}
	}
}

// fetchFrom fetches and installs the configuration of a peer unless the daemon has
// caught up on its own.
func (m *Mesh) fetchFrom(ctx context.Context, peer hosting.VM) {
	m.mutex.Lock()
	newest := m.newestOffset
	m.mutex.Unlock()
	if _, offset := m.handler.Configuration(); newest <= offset {
		return
	}
	reply, err := m.requestConfiguration(ctx, peer)
	if err != nil {
		m.recordFailure(ctx, peer, err)
		return
	}
	if _, offset := m.handler.Configuration(); reply.GetOffset() <= offset {
		return
	}
	if err := m.handler.Install(reply.GetSnapshot(), reply.GetOffset()); err != nil {
		m.common.Count("Peer.ConfigurationsRefused", 1)
		return
	}
	m.common.Count("Peer.ConfigurationsInstalled", 1)
	m.common.Events.Record(telemetry.Event{Kind: "ConfigurationFetched", Detail: "from " + peer.Name})
}

func (m *Mesh) requestConfiguration(ctx context.Context, peer hosting.VM) (*peerpb.ConfigurationReply, error) {
	var reply *peerpb.ConfigurationReply
	err := m.client.call(ctx, peer, "Configuration", m.options.CallTimeout,
		func(ctx context.Context, client peerpb.DRPCPeerClient) (err error) {
			reply, err = client.Configuration(ctx, &peerpb.ConfigurationRequest{Sender: m.sender()})
			return err
		})
	if err != nil {
		return nil, err
	}
	sender, stamp := decodeSender(reply.GetSender())
	m.observeSender(sender, stamp)
	return reply, nil
}
