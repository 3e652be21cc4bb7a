package callerserver

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/socket"
)

// lingerTime is how long the server waits for the caller to close its side of an
// idle connection. It covers the time in which a request that was sent before the
// caller learned of the closing arrives.
const lingerTime = 50 * time.Millisecond

// writeCloser is a connection whose writing side can be closed on its own.
type writeCloser interface {
	CloseWrite() error
}

// lingerIfIdle is called by the reading goroutine after a read that failed. If the
// server closes the connection while it awaits a request, only the writing side is closed
// at first, so that a request that crosses the closing is noticed. Its bytes are not read:
// the kernel then resets the connection, which tells the caller that the request was not
// taken.
func (c *connection) lingerIfIdle() {
	if !c.beginLinger() {
		return
	}
	state := socket.Await(c.Conn)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopTimer()
	c.recordCrossing(state)
}

// beginLinger closes the writing side and reports whether the other side must be awaited.
func (c *connection) beginLinger() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase != awaiting || c.closedBy != Daemon {
		return false
	}
	half, ok := c.Conn.(writeCloser)
	if !ok {
		return false
	}
	if err := half.CloseWrite(); err != nil {
		// The caller has reset the connection, or all connections are being closed.
		c.recordCrossing(socket.StateOf(c.Conn))
		return false
	}
	c.phase = lingering
	// An error means that the connection is closed, which ends the wait.
	_ = c.Conn.SetReadDeadline(c.readDeadline)
	c.arm(lingerTime)
	return true
}

// endLinger makes the wait for the caller end.
func (c *connection) endLinger() { _ = c.Conn.SetReadDeadline(longAgo) }

// recordClosed counts a connection that the server closes, by reason, and by the time it was
// idle if it awaits a request.
func (c *connection) recordClosed() {
	name := "CallerConnections.Closed." + string(c.closing)
	c.server.common.Count(name, 1)
	if c.phase == awaiting {
		c.endIdle()
		c.server.common.Count(name+"."+string(c.idle.class()), 1)
	}
}

// recordCrossing logs and counts what arrived while the server closed an idle connection.
func (c *connection) recordCrossing(state socket.State) {
	switch state {
	case socket.Readable:
		c.recordArrival("RequestCrossedClose", "CallerConnections.RequestsCrossedClose")
	case socket.Reset:
		c.recordArrival("ConnectionResetAtClose", "CallerConnections.ResetAtClose")
	}
}

func (c *connection) recordArrival(message, counter string) {
	common := c.server.common
	timeoutNow := c.server.options.Timeouts().Idle
	common.Count(counter, 1)
	common.Log.Info(message, "Caller", c.RemoteAddr().String(), "Reason", string(c.closing),
		"IdleMilliseconds", c.idle.length().Milliseconds(),
		"TimeoutWhenIdleMilliseconds", c.idle.timeout.Milliseconds(),
		"TimeoutMilliseconds", c.idle.limit.Milliseconds(),
		"TimeoutNowMilliseconds", timeoutNow.Milliseconds(),
		"HasTimeoutChanged", timeoutNow != c.idle.timeout)
}
