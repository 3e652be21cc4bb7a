package callerserver

import (
	"errors"
	"net"
	"sync"
	"time"
)

// phase is what the server does with a connection.
type phase string

const (
	// awaiting means that no byte of the next request has been read.
	awaiting phase = "Awaiting"
	// receiving means that a part of the next request's header has been read.
	receiving phase = "Receiving"
	// serving means that a handler runs.
	serving phase = "Serving"
)

// connection is a caller's connection. It closes itself when its timer expires.
type connection struct {
	net.Conn
	server *Server

	mutex sync.Mutex
	// phase is empty before the first state that net/http reports; guarded by mutex, as
	// all fields below.
	phase phase
	// isAnswered is true once bytes were written since the first byte of the request.
	isAnswered bool
	// closedBy is empty while the connection is open.
	closedBy Closer
	// timer is nil until arm is first called.
	timer timer
}

// timer is the subset of a clock's timer that is used here.
type timer interface {
	Reset(time.Duration) bool
	Stop() bool
}

// awaitRequest starts the timeout for the next request.
func (c *connection) awaitRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase = awaiting
	c.arm(c.server.options.Timeouts().Idle)
}

// beginRequest is called when the handler starts.
func (c *connection) beginRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase = serving
	if c.closedBy == Daemon {
		c.recordCut("RequestOnClosedConnection")
	}
}

// endRequest is called when the handler has returned or panicked.
func (c *connection) endRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase = ""
}

// Read implements net.Conn. The first byte of a request starts the header timeout.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if count > 0 {
		c.recordRead()
	}
	if err != nil {
		c.recordError(err)
	}
	return count, err
}

func (c *connection) recordRead() {
	if c.phase != awaiting {
		return
	}
	c.phase = receiving
	c.isAnswered = false
	c.arm(c.server.options.Timeouts().Header)
}

// recordError records that the caller has ended the connection, unless the error has a
// cause on this side.
func (c *connection) recordError(err error) {
	var netError net.Error
	if errors.Is(err, net.ErrClosed) || errors.As(err, &netError) && netError.Timeout() {
		return
	}
	if c.closedBy == "" {
		c.closedBy = Caller
	}
}

// Write implements net.Conn.
func (c *connection) Write(content []byte) (int, error) {
	count, err := c.Conn.Write(content)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if count > 0 {
		c.isAnswered = true
	}
	if err != nil {
		c.recordError(err)
	}
	return count, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.mutex.Lock()
	if c.closedBy == "" {
		c.closedBy = Daemon
		if c.phase == serving || c.phase == receiving && !c.isAnswered {
			c.recordCut("ConnectionClosedInRequest")
		}
	}
	c.mutex.Unlock()
	c.server.forget(c)
	return c.Conn.Close()
}

// recordCut logs and counts a request that can't be answered since this process closed
// its connection.
func (c *connection) recordCut(message string) {
	c.server.common.Count("CallerConnections.ClosedInRequest", 1)
	c.server.common.Log.Info(message, "Caller", c.RemoteAddr().String(), "Phase", string(c.phase))
}

// arm schedules the closing of the connection. Zero means never.
func (c *connection) arm(timeout time.Duration) {
	if timeout <= 0 {
		c.stopTimer()
		return
	}
	if c.timer == nil {
		c.timer = c.server.common.Clock.AfterFunc(timeout, c.expire)
		return
	}
	c.timer.Reset(timeout)
}

func (c *connection) disarm() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopTimer()
}

func (c *connection) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
	}
}

func (c *connection) expire() {
	c.server.common.Count("CallerConnections.Expired", 1)
	_ = c.Close()
}
