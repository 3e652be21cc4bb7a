// Package conntimeout closes callers' connections that are idle for too long, or on
// which the header of a request takes too long to arrive. Unlike the timeouts of
// net/http, these may change while connections are open.
package conntimeout

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Timeouts holds the timeouts for a caller's connection. Zero means no timeout.
type Timeouts struct {
	// Header bounds the time from the first byte of a request to the end of its
	// header.
	Header time.Duration
	// Idle bounds how long a connection may be idle.
	Idle time.Duration
}

// Enforcer enforces the timeouts on the connections of one server.
type Enforcer struct {
	common telemetry.Common
	// timeouts returns the current timeouts.
	timeouts func() Timeouts
}

// New returns an enforcer. timeouts is called concurrently.
func New(common telemetry.Common, timeouts func() Timeouts) *Enforcer {
	return &Enforcer{common: common, timeouts: timeouts}
}

// Listen wraps a listener so that the enforcer can watch its connections.
func (e *Enforcer) Listen(listener net.Listener) net.Listener {
	return &watchedListener{Listener: listener, enforcer: e}
}

// OnState tracks the state of a connection. It is the ConnState hook of an
// http.Server that serves a listener returned by Listen.
func (e *Enforcer) OnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.awaitRequest(e.timeouts().Idle)
	default:
		// The header has arrived, or the connection was closed.
		c.disarm()
	}
}

type watchedListener struct {
	net.Listener
	enforcer *Enforcer
}

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, enforcer: l.enforcer}, nil
}

// connection closes itself when its timer expires.
type connection struct {
	net.Conn
	enforcer *Enforcer
	// isAwaitingRequest is true until the first byte of the next request.
	isAwaitingRequest atomic.Bool

	mutex sync.Mutex
	// timer is nil until arm is first called.
	timer timer
}

// timer is the subset of a clock's timer that is used here.
type timer interface {
	Reset(time.Duration) bool
	Stop() bool
}

// awaitRequest starts the timeout for the next request.
func (c *connection) awaitRequest(timeout time.Duration) {
	c.isAwaitingRequest.Store(true)
	c.arm(timeout)
}

// Read implements net.Conn. The first byte of a request starts the header timeout.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 && c.isAwaitingRequest.CompareAndSwap(true, false) {
		c.arm(c.enforcer.timeouts().Header)
	}
	return count, err
}

// arm schedules the closing of the connection. Zero means never.
func (c *connection) arm(timeout time.Duration) {
	if timeout <= 0 {
		c.disarm()
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.timer == nil {
		c.timer = c.enforcer.common.Clock.AfterFunc(timeout, c.expire)
		return
	}
	c.timer.Reset(timeout)
}

func (c *connection) disarm() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
}

func (c *connection) expire() {
	c.enforcer.common.Count("CallerConnections.Expired", 1)
	_ = c.Close()
}
