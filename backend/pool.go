package backend

import (
	"context"
	"net"
	"sync"
	"time"
)

// pool knows the open connections by address, so that idle ones can be
// abandoned when another one to the same address went silent.
type pool struct {
	dialer net.Dialer

	mu sync.Mutex
	// conns holds every open connection, by address.
	conns map[string]map[*conn]struct{}
}

func newPool(timeout time.Duration) *pool {
	return &pool{
		dialer: net.Dialer{Timeout: timeout, KeepAlive: 15 * time.Second},
		conns:  make(map[string]map[*conn]struct{}),
	}
}

// dial makes a connection for the attempt whose gate is in ctx.
func (p *pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	g := gateOf(ctx)
	if g == nil || !g.admitDial() {
		return nil, &SealedError{}
	}
	raw, err := p.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, pool: p, address: address}
	p.remember(c)
	return c, nil
}

func (p *pool) remember(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.address] == nil {
		p.conns[c.address] = make(map[*conn]struct{})
	}
	p.conns[c.address][c] = struct{}{}
}

func (p *pool) forget(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns[c.address], c)
	if len(p.conns[c.address]) == 0 {
		delete(p.conns, c.address)
	}
}

// abandonIdle closes the connections to address that no attempt uses, and
// returns their number.
func (p *pool) abandonIdle(address string) int {
	p.mu.Lock()
	var idle []*conn
	for c := range p.conns[address] {
		if c.current() == nil {
			idle = append(idle, c)
		}
	}
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
	return len(idle)
}
