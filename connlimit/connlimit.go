// Package connlimit closes callers' connections that stay unused for too long,
// or on which the head of a request takes too long to arrive. The bounds may
// change while connections are open, which those of net/http may not.
package connlimit

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Bounds limit the waits for a caller. Zero means no bound.
type Bounds struct {
	// Head bounds the time from the first byte of a request to the end of its
	// header fields.
	Head time.Duration
	// Idle bounds the time for which a connection is unused.
	Idle time.Duration
}

// Limiter watches the connections of one server.
type Limiter struct {
	common telemetry.Common
	// bounds returns those in force.
	bounds func() Bounds
}

// New returns a limiter. Several goroutines call bounds.
func New(common telemetry.Common, bounds func() Bounds) *Limiter {
	return &Limiter{common: common, bounds: bounds}
}

// Listen returns a listener whose connections can be watched.
func (l *Limiter) Listen(listener net.Listener) net.Listener {
	return &watchedListener{Listener: listener, limiter: l}
}

// OnState follows a connection from one request to the next. It is the ConnState
// of an http.Server that serves a listener which Listen has returned.
func (l *Limiter) OnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.await(l.bounds().Idle)
	default:
		// The head has arrived, or the connection has ended.
		c.disarm()
	}
}

type watchedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, limiter: l.limiter}, nil
}

// connection is closed when it stays armed for as long as it was armed for.
type connection struct {
	net.Conn
	limiter *Limiter
	// isAwaiting is true until the first byte of the next request.
	isAwaiting atomic.Bool

	mutex sync.Mutex
	// timer is nil until the connection is first armed.
	timer timer
}

// timer is the part of a clock's timer that is used here.
type timer interface {
	Reset(time.Duration) bool
	Stop() bool
}

// await bounds the time to the next request.
func (c *connection) await(bound time.Duration) {
	c.isAwaiting.Store(true)
	c.arm(bound)
}

// Read implements net.Conn. The first byte of a request begins its head.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 && c.isAwaiting.CompareAndSwap(true, false) {
		c.arm(c.limiter.bounds().Head)
	}
	return count, err
}

// arm closes the connection after a time; zero means never.
func (c *connection) arm(bound time.Duration) {
	if bound <= 0 {
		c.disarm()
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.timer == nil {
		c.timer = c.limiter.common.Clock.AfterFunc(bound, c.expire)
		return
	}
	c.timer.Reset(bound)
}

func (c *connection) disarm() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
}

func (c *connection) expire() {
	c.limiter.common.Count("CallerConnections.Expired", 1)
	_ = c.Close()
}
