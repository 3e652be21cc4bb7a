package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/idlelimit"
	"github.com/cranberrywalk/cranberrywalk/socket"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Options configures the connections to runners.
type Options struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// AckTimeout is the TCP user timeout: a connection is closed when sent bytes are
	// not acknowledged by the runner's kernel for this long.
	AckTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept. A runner's Keep-Alive
	// timeout, less IdleMargin, can shorten it.
	IdleTimeout time.Duration
	// IdleMargin is subtracted from the timeout that a runner announces.
	IdleMargin time.Duration
	// MaxIdle bounds the idle connections to one address. Zero means no limit.
	MaxIdle int
	// MaxHeaderBytes bounds the header of an answer.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of an answer that is read by ReadAll.
	MaxBodyBytes int
	// Budget bounds the bytes of all answers that are held in buffers. Nil means no
	// limit.
	Budget *buffer.Budget
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 250 * time.Millisecond,
		AckTimeout:  time.Second,
		IdleTimeout: 4 * time.Second,
		IdleMargin:  time.Second,

		MaxHeaderBytes: 64 << 10,
		// ReadAll holds the whole body in memory.
		MaxBodyBytes: 8 << 20,
		Budget:       buffer.New(buffer.DefaultOptions()),
	}
}

// Pool holds the connections to all runners. It is safe for concurrent use.
type Pool struct {
	common  telemetry.Common
	options Options

	mutex sync.Mutex
	// idle holds the idle connections by address, most recently used last.
	idle map[string][]*connection
	// open counts the connections by address, including idle ones.
	open map[string]int

	// idleLimits estimates how long runners keep idle connections.
	idleLimits *idlelimit.Estimator
	// loggedIdleLimit is the limit that was last logged; guarded by mutex.
	loggedIdleLimit time.Duration
}

// New returns a pool without connections.
func New(common telemetry.Common, options Options) *Pool {
	return &Pool{
		common: common, options: options, idle: make(map[string][]*connection), open: make(map[string]int),
		idleLimits: idlelimit.New(idlelimit.DefaultOptions()),
	}
}

// acquire returns an idle connection for a request, or a new one if there is none
// or the request requires it.
func (p *Pool) acquire(ctx context.Context, request Request) (*connection, error) {
	if !request.NewConnection {
		if c := p.acquireIdle(request); c != nil {
			return c, nil
		}
	}
	if !p.reserve(request.Address, request.MaxConnections) && !p.closeOldestIdle(request.Address) {
		return nil, &ConnectionLimitError{Limit: request.MaxConnections}
	}
	c, err := p.dial(ctx, request.Address)
	if err != nil {
		p.release(request.Address)
		return nil, &DialError{Cause: err}
	}
	return c, nil
}

// acquireIdle returns an idle connection that can be reused for a request, or nil. It
// closes idle connections that cannot be reused. One that may be stale is closed as well,
// so that a new connection takes its place.
func (p *Pool) acquireIdle(request Request) *connection {
	now := p.common.Clock.Now()
	for {
		c := p.popIdle(request.Address)
		if c == nil {
			return nil
		}
		if !c.isReusable(now) {
			p.drop(c)
			continue
		}
		if p.mayBeStale(c, request, now) {
			p.drop(c)
			return nil
		}
		return c
	}
}

func (p *Pool) popIdle(address string) *connection {
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

func (p *Pool) reserve(address string, limit int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if limit > 0 && p.open[address] >= limit {
		return false
	}
	p.open[address]++
	return true
}

// closeOldestIdle closes the least recently used idle connection to an address and leaves
// its place among the open ones to the caller. It returns false if there is none.
func (p *Pool) closeOldestIdle(address string) bool {
	c := p.popOldestIdle(address)
	if c == nil {
		return false
	}
	_ = c.raw.Close()
	return true
}

func (p *Pool) popOldestIdle(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[0]
	p.idle[address] = slices.Delete(idle, 0, 1)
	return c
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
		Control: socket.AckTimeoutControl(p.options.AckTimeout),
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.common.Count("Upstream.Dials", 1)
	return newConnection(raw, address), nil
}

// recycle returns a connection to the pool, or closes it if there are
// enough idle ones to its address.
func (p *Pool) recycle(c *connection) {
	c.onRead = nil
	if !p.putIdle(c) {
		p.drop(c)
	}
}

func (p *Pool) putIdle(c *connection) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[c.address]
	if p.options.MaxIdle > 0 && len(idle) >= p.options.MaxIdle {
		return false
	}
	p.idle[c.address] = append(idle, c)
	return true
}

// drop closes a connection and stops counting it as open.
func (p *Pool) drop(c *connection) {
	_ = c.raw.Close()
	p.release(c.address)
}

// CloseExpired closes the idle connections whose idle timeout has passed, so that none
// is left to a runner that is gone.
func (p *Pool) CloseExpired() {
	now := p.common.Clock.Now()
	p.closeIdle(func(c *connection) bool { return !now.Before(c.idleUntil) })
	p.logIdleLimit(now)
}

// CloseIdleTo closes the idle connections to an address and returns their number.
func (p *Pool) CloseIdleTo(address string) int {
	return p.closeIdle(func(c *connection) bool { return c.address == address })
}

// CloseAllIdle closes all idle connections.
func (p *Pool) CloseAllIdle() {
	p.closeIdle(func(*connection) bool { return true })
}

// closeIdle closes the idle connections that match, and returns their number.
func (p *Pool) closeIdle(matches func(*connection) bool) int {
	removed := p.removeIdle(matches)
	for _, c := range removed {
		p.drop(c)
	}
	return len(removed)
}

func (p *Pool) removeIdle(matches func(*connection) bool) []*connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var removed []*connection
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if matches(c) {
				removed = append(removed, c)
				continue
			}
			kept = append(kept, c)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	return removed
}
