package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Options sets how runners are connected.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// Silence is the time without an acknowledgement by the other end's
	// kernel after which a connection is broken.
	Silence time.Duration
	// KeepIdle is how long an unused connection is kept when the runner does
	// not say how long it keeps it.
	KeepIdle time.Duration
	// IdleMargin is taken off the time that a runner says.
	IdleMargin time.Duration
	// MostIdle bounds the unused connections to one address; zero means no
	// bound.
	MostIdle int
	// MostHeadBytes bounds the head of an answer.
	MostHeadBytes int
	// MostAnswerBytes bounds the body of an answer that is kept whole.
	MostAnswerBytes int
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 250 * time.Millisecond,
		Silence:     time.Second,
		KeepIdle:    4 * time.Second,
		IdleMargin:  time.Second,

		MostHeadBytes: 64 << 10,
		// A whole answer is held in memory until it is passed on.
		MostAnswerBytes: 8 << 20,
	}
}

// Pool keeps the connections to all runners. It is safe for use by several
// goroutines.
type Pool struct {
	common  telemetry.Common
	options Options

	mutex sync.Mutex
	// idle holds the unused connections by address, the last used one last.
	idle map[string][]*connection
	// open counts the connections by address, unused ones included.
	open map[string]int
}

// New returns a pool without connections.
func New(common telemetry.Common, options Options) *Pool {
	return &Pool{common: common, options: options, idle: make(map[string][]*connection), open: make(map[string]int)}
}

// take returns a connection for a request: an unused one unless the request
// asks for a new one.
func (p *Pool) take(ctx context.Context, request Request) (*connection, error) {
	if !request.Fresh {
		if c := p.takeIdle(request.Address); c != nil {
			return c, nil
		}
	}
	if !p.reserve(request.Address, request.MostConnections) {
		return nil, &FullError{Most: request.MostConnections}
	}
	c, err := p.dial(ctx, request.Address)
	if err != nil {
		p.release(request.Address)
		return nil, &DialError{Cause: err}
	}
	return c, nil
}

// takeIdle returns an unused connection that still works, or nil. It drops
// those that do not.
func (p *Pool) takeIdle(address string) *connection {
	for {
		c := p.pop(address)
		if c == nil || c.isFresh(p.common.Clock.Now()) {
			return c
		}
		p.drop(c)
	}
}

func (p *Pool) pop(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return c
}

func (p *Pool) reserve(address string, most int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if most > 0 && p.open[address] >= most {
		return false
	}
	p.open[address]++
	return true
}

func (p *Pool) release(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open[address]--
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*connection, error) {
	dialer := net.Dialer{
		Timeout: p.options.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
		Control: silenceControl(p.options.Silence),
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.common.Count("Upstream.Dials", 1)
	return newConnection(raw, address), nil
}

// keep makes a connection available again, unless there are enough.
func (p *Pool) keep(c *connection) {
	c.heard = nil
	if !p.putIdle(c) {
		p.drop(c)
	}
}

func (p *Pool) putIdle(c *connection) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[c.address]
	if p.options.MostIdle > 0 && len(idle) >= p.options.MostIdle {
		return false
	}
	p.idle[c.address] = append(idle, c)
	return true
}

// drop closes a connection for good.
func (p *Pool) drop(c *connection) {
	_ = c.raw.Close()
	p.release(c.address)
}

// CloseIdle closes the unused connections that are past their time, so that
// none stays for a runner that is gone.
func (p *Pool) CloseIdle() {
	now := p.common.Clock.Now()
	p.closeIdle(func(c *connection) bool { return !now.Before(c.until) })
}

// CloseIdleTo closes the unused connections to an address and returns their
// number.
func (p *Pool) CloseIdleTo(address string) int {
	return p.closeIdle(func(c *connection) bool { return c.address == address })
}

// CloseAllIdle closes all unused connections.
func (p *Pool) CloseAllIdle() {
	p.closeIdle(func(*connection) bool { return true })
}

// closeIdle closes the unused connections that are chosen, and returns their
// number.
func (p *Pool) closeIdle(isChosen func(*connection) bool) int {
	chosen := p.removeIdle(isChosen)
	for _, c := range chosen {
		p.drop(c)
	}
	return len(chosen)
}

func (p *Pool) removeIdle(isChosen func(*connection) bool) []*connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var chosen []*connection
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if isChosen(c) {
				chosen = append(chosen, c)
				continue
			}
			kept = append(kept, c)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	return chosen
}
