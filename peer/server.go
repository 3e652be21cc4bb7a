package peer

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/cranberrywalk/cranberrywalk/peer/peerpb"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// serve serves the calls of the peers until ctx ends, and then answers those that are
// under way and closes the listener.
func (m *Mesh) serve(ctx context.Context) {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &server{mesh: m}); err != nil {
		m.common.Log.Error(err, "registering the peer service failed")
		return
	}
	manager := managerOptions()
	manager.InactivityTimeout = 2 * m.options.IdleTimeout
	options := drpcserver.Options{
		Manager: manager,
		Log:     func(error) { m.common.Count("Peer.ConnectionsEnded", 1) },
	}
	listener := &countedListener{Listener: m.listener, common: m.common, timeout: m.options.CallTimeout}
	calls := &callTracker{Handler: mux}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	stopWatching := context.AfterFunc(ctx, func() {
		calls.awaitIdle(m.common.Clock, m.options.CallTimeout)
		stop()
	})
	defer stopWatching()
	if err := drpcserver.NewWithOptions(calls, options).Serve(serving, listener); err != nil && ctx.Err() == nil {
		m.common.Log.Error(err, "peer listener failed", "Address", m.options.Address)
	}
}

// server implements the RPC methods that peers call.
type server struct {
	mesh *Mesh
}

// Exchange implements peerpb.DRPCPeerServer.
func (s *server) Exchange(_ context.Context, request *peerpb.Digest) (*peerpb.Digest, error) {
	message := decodeMessage(request)
	s.mesh.observeSender(message.Sender, message.Stamp)
	stamp := s.mesh.stamps.Now()
	s.mesh.mutex.Lock()
	reply, update := s.mesh.core.Reply(message, stamp, s.mesh.common.Clock.Now())
	encoded := encodeMessage(reply)
	s.mesh.mutex.Unlock()
	s.mesh.handleUpdate(update)
	return encoded, nil
}

// Tell implements peerpb.DRPCPeerServer.
func (s *server) Tell(_ context.Context, request *peerpb.Digest) (*peerpb.Receipt, error) {
	s.mesh.receive(decodeMessage(request))
	return &peerpb.Receipt{Sender: s.mesh.sender()}, nil
}

// Configuration implements peerpb.DRPCPeerServer.
func (s *server) Configuration(
	_ context.Context, request *peerpb.ConfigurationRequest,
) (*peerpb.ConfigurationReply, error) {
	s.mesh.observeSender(decodeSender(request.GetSender()))
	snapshot, offset := s.mesh.handler.Configuration()
	return &peerpb.ConfigurationReply{Sender: s.mesh.sender(), Snapshot: snapshot, Offset: offset}, nil
}

// Answer implements peerpb.DRPCPeerServer.
func (s *server) Answer(ctx context.Context, request *peerpb.AnswerRequest) (*peerpb.AnswerReply, error) {
	s.mesh.observeSender(decodeSender(request.GetSender()))
	ctx, cancel := withTimeout(ctx, s.mesh.common.Clock, AnswerWait)
	defer cancel()
	answer, err := s.mesh.handler.Answer(ctx, request.GetKey())
	if err != nil {
		return nil, err
	}
	return encodeAnswer(answer, s.mesh.sender()), nil
}

// sender returns the sender field of this daemon's messages.
func (m *Mesh) sender() *peerpb.Sender {
	return encodeSender(m.options.Identity, m.stamps.Now())
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	common telemetry.Common
	// timeout bounds each write, so that a peer that does not read cannot
	// block it.
	timeout time.Duration
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCountedConn(conn, l.common, l.timeout), nil
}
