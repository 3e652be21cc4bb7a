package peer

import (
	"context"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/peer/peerpb"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Names of the counters of bytes on connections between daemons.
const (
	CounterSent     = "Peer.BytesSent"
	CounterReceived = "Peer.BytesReceived"
)

const (
	// MaxMessageBytes bounds the size of a message between daemons, such as
	// a configuration snapshot or a recorded answer.
	MaxMessageBytes = 16 << 20
	// idleConnections bounds the idle connections to all peers together.
	idleConnections = 64
	// idleConnectionsPerPeer bounds the idle connections to one peer.
	idleConnectionsPerPeer = 2
)

// client calls peers over pooled connections. A connection carries one call at a
// time, and cancelling a call closes its connection.
type client struct {
	common  telemetry.Common
	options Options
	pool    *drpcpool.Pool[string, *drpcconn.Conn]
}

func newClient(common telemetry.Common, options Options) *client {
	return &client{
		common:  common,
		options: options,
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration:  options.IdleTimeout,
			Capacity:    idleConnections,
			KeyCapacity: idleConnectionsPerPeer,
		}),
	}
}

// call runs do on a connection to the peer, with the given timeout. A call that
// fails on a pooled connection is retried once on a new one, since the pooled one
// may have been stale. All calls are idempotent.
func (c *client) call(
	ctx context.Context, peer hosting.VM, name string, timeout time.Duration,
	do func(context.Context, peerpb.DRPCPeerClient) error,
) error {
	fresh, err := c.callOnce(ctx, peer, timeout, do)
	if err != nil && !fresh && ctx.Err() == nil {
		c.common.Count("Peer.CallsRepeated", 1)
		c.dropIdle(peer.PeerAddress)
		_, err = c.callOnce(ctx, peer, timeout, do)
	}
	if err != nil {
		c.common.Count("Peer.CallsFailed", 1)
		return &CallError{Peer: peer.Name, Address: peer.PeerAddress, Call: name, Cause: err}
	}
	c.common.Count("Peer.Calls", 1)
	return nil
}

// callOnce runs do once and reports whether it opened a new connection.
func (c *client) callOnce(
	ctx context.Context, peer hosting.VM, timeout time.Duration,
	do func(context.Context, peerpb.DRPCPeerClient) error,
) (fresh bool, err error) {
	ctx, cancel := withTimeout(ctx, c.common.Clock, timeout)
	defer cancel()
	conn := c.pool.Get(ctx, peer.PeerAddress, func(ctx context.Context, address string) (*drpcconn.Conn, error) {
		fresh = true
		return c.dial(ctx, address)
	})
	defer func() { _ = conn.Close() }()
	err = do(ctx, peerpb.NewDRPCPeerClient(conn))
	return fresh, err
}

// dropIdle closes the idle connections to an address.
func (c *client) dropIdle(address string) {
	for range idleConnectionsPerPeer {
		conn, ok := c.pool.Take(address)
		if !ok {
			return
		}
		_ = conn.Close()
	}
}

func (c *client) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := withTimeout(ctx, c.common.Clock, c.options.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.common.Count("Peer.Dials", 1)
	options := drpcconn.Options{Manager: managerOptions()}
	return drpcconn.NewWithOptions(newCountedConn(conn, c.common, c.options.CallTimeout), options), nil
}

// managerOptions returns the options shared by outgoing and accepted connections.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

func (c *client) close() { _ = c.pool.Close() }

// countedConn counts the bytes that pass through a connection, and closes it when a
// write does not complete within timeout because the peer does not read.
type countedConn struct {
	net.Conn
	clock    clock.Clock
	timeout  time.Duration
	sent     metrics.Counter
	received metrics.Counter
}

func newCountedConn(conn net.Conn, common telemetry.Common, timeout time.Duration) *countedConn {
	return &countedConn{
		Conn:     conn,
		clock:    common.Clock,
		timeout:  timeout,
		sent:     metrics.GetOrRegisterCounter(CounterSent, common.Metrics),
		received: metrics.GetOrRegisterCounter(CounterReceived, common.Metrics),
	}
}

// Read implements io.Reader.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Inc(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countedConn) Write(b []byte) (int, error) {
	timer := c.clock.AfterFunc(c.timeout, func() { _ = c.Close() })
	defer timer.Stop()
	n, err := c.Conn.Write(b)
	c.sent.Inc(int64(n))
	return n, err
}
