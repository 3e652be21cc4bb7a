package membership

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	// idleConnections bounds the idle connections to all daemons, and
	// idleConnectionsPerPeer those to one.
	idleConnections        = 512
	idleConnectionsPerPeer = 1
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 10 * time.Second
)

// client calls other daemons. A call that fails closes its connection.
type client struct {
	dialTimeout time.Duration
	pool        *drpcpool.Pool[string, *drpcconn.Conn]
}

func newClient(dialTimeout time.Duration) *client {
	return &client{
		dialTimeout: dialTimeout,
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration: idleTimeout, Capacity: idleConnections, KeyCapacity: idleConnectionsPerPeer,
		}),
	}
}

// call fails with a *CallError.
func (c *client) call(ctx context.Context, address, name string, request, reply drpc.Message) error {
	conn := c.pool.Get(ctx, address, c.dial)
	defer func() { _ = conn.Close() }()
	if err := conn.Invoke(ctx, name, encoding{}, request, reply); err != nil {
		return &CallError{Address: address, Call: name, Cause: err}
	}
	return nil
}

func (c *client) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: c.dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(conn), nil
}

func (c *client) close() { _ = c.pool.Close() }
