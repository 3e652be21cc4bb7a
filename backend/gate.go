package backend

import (
	"context"
	"net"
	"sync"
)

// gate stands between one attempt and its connections. It knows whether a
// byte was written, and after seal none is written any more.
type gate struct {
	// single allows at most one connection in the attempt's life.
	single bool
	// onRead is called after every read that returned bytes.
	onRead func()

	mu sync.Mutex
	// conn is the connection that the attempt uses, or nil.
	conn *conn
	// dialled counts the connections that were made for the attempt.
	dialled int
	// sealed never goes back to false.
	sealed bool
	// written never goes back to false.
	written bool
}

type gateKey struct{}

func withGate(ctx context.Context, g *gate) context.Context {
	return context.WithValue(ctx, gateKey{}, g)
}

func gateOf(ctx context.Context) *gate {
	g, _ := ctx.Value(gateKey{}).(*gate)
	return g
}

// admitDial reports whether the attempt may make a connection.
func (g *gate) admitDial() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sealed || (g.single && g.dialled > 0) {
		return false
	}
	g.dialled++
	return true
}

// adopt binds the attempt to a connection.
func (g *gate) adopt(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conn = c
	c.bind(g)
}

// admitWrite records that the attempt writes. It returns false after seal.
func (g *gate) admitWrite() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sealed {
		return false
	}
	g.written = true
	return true
}

// seal stops all writing and reports whether anything was written.
func (g *gate) seal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = true
	return g.written
}

// abort seals the attempt and closes its connection.
func (g *gate) abort() bool {
	written := g.seal()
	g.mu.Lock()
	c := g.conn
	g.mu.Unlock()
	if c != nil {
		c.closeFor(g)
	}
	return written
}

// release lets the connection return to the pool.
func (g *gate) release() {
	g.seal()
	g.mu.Lock()
	c := g.conn
	g.mu.Unlock()
	if c != nil {
		c.unbind(g)
	}
}

// conn is a connection whose writes pass the gate of the current attempt.
type conn struct {
	net.Conn
	pool *pool
	// address is the backend server's address.
	address string

	mu sync.Mutex
	// gate belongs to the current attempt; it is nil while the connection
	// is idle.
	gate *gate
}

func (c *conn) bind(g *gate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate = g
}

func (c *conn) unbind(g *gate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gate == g {
		c.gate = nil
	}
}

// closeFor closes the connection unless another attempt uses it by now.
func (c *conn) closeFor(g *gate) {
	if c.current() == g {
		_ = c.Close()
	}
}

func (c *conn) current() *gate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate
}

// Write implements net.Conn. A write without a live attempt is refused.
func (c *conn) Write(b []byte) (int, error) {
	g := c.current()
	if g == nil || !g.admitWrite() {
		return 0, &SealedError{}
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if g := c.current(); g != nil {
			g.onRead()
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.pool.forget(c)
	return c.Conn.Close()
}
