package callerserver

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/socket"
)

// closeReason is why the server closes a connection on which no request is under way.
type closeReason string

const (
	idleTooLong closeReason = "IdleTooLong"
	headerLate  closeReason = "HeaderLate"
	bodyLate    closeReason = "BodyLate"
	stopping    closeReason = "Stopping"
	// serverClosed means that all connections were closed at once.
	serverClosed closeReason = "ServerClosed"
	// tooManyConnections means that the connection has made room for another one.
	tooManyConnections closeReason = "TooManyConnections"
)

// firstRequestTimeout is how long a new connection waits for its first request while
// the server drains: its caller has probably sent one already.
const firstRequestTimeout = 250 * time.Millisecond

// closeForStop closes the connection if it awaits a request, at once or when the first
// one does not come.
func (c *connection) closeForStop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case c.phase == awaiting && c.hasRequested:
		c.requestClose(stopping)
	case c.phase == awaiting || c.phase == "" || c.phase == ending:
		c.arm(firstRequestTimeout)
	}
}

// endReads makes the reads of a request's body fail.
func (c *connection) endReads() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requestClose(stopping)
}

// expire is called when the timer ends.
func (c *connection) expire() {
	isDraining := c.server.currentStage() >= draining
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case c.phase == receiving:
		c.requestClose(headerLate)
	case c.phase == ending:
		c.requestClose(bodyLate)
	case c.phase == awaiting && isDraining:
		c.requestClose(stopping)
	case c.phase == awaiting:
		c.closeIfIdleTooLong()
	case c.phase == lingering:
		c.endLinger()
	}
}

// closeIfIdleTooLong closes the connection if it has been idle for the timeout that callers
// go by, or schedules the next look. That timeout may change while the connection is idle.
func (c *connection) closeIfIdleTooLong() {
	now := c.server.common.Clock.Now()
	timeout, lasts := c.server.limits.longest(now, c.server.options.Timeouts().Idle)
	if !c.hasRequested {
		timeout = shorter(timeout, c.server.options.MaxHeaderTime)
	}
	idle := now.Sub(c.idle.began)
	if timeout > 0 && idle >= timeout {
		if c.extendIfUnacknowledged(now) {
			c.arm(timeout)
			return
		}
		c.requestClose(idleTooLong)
		return
	}
	c.arm(shorter(timeout-idle, lasts))
}

// extendIfUnacknowledged begins the idle period anew, once, if the caller has not received the
// last answer yet: its own idle period begins when it has.
func (c *connection) extendIfUnacknowledged(now time.Time) bool {
	if c.idle.isExtended || !socket.HasUnacknowledged(c.Conn) {
		return false
	}
	c.idle.began = now
	c.idle.isExtended = true
	return true
}

// requestClose asks the reading goroutine to close the connection.
func (c *connection) requestClose(reason closeReason) {
	c.closing = reason
	_ = c.applyDeadline()
}

// withdrawClose takes back a request to close.
func (c *connection) withdrawClose() {
	if c.closing == "" {
		return
	}
	c.closing = ""
	_ = c.applyDeadline()
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readDeadline = deadline
	return c.applyDeadline()
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// applyDeadline sets the deadline of net/http, or one that has passed while a closing or a refusal
// is asked for. An error means that the connection is closed, which the next read tells.
func (c *connection) applyDeadline() error {
	if c.closing != "" || c.refusal != nil {
		return c.Conn.SetReadDeadline(longAgo)
	}
	return c.Conn.SetReadDeadline(c.readDeadline)
}

// lateRestTimeout is how long a request whose header, or whose unused body, is late may take for the
// rest of it, if more has arrived meanwhile.
const lateRestTimeout = 100 * time.Millisecond

// closeUnlessReadable is called by the reading goroutine when a closing was asked for and
// nothing was read. It ends the connection with the timeout of the read, on which net/http
// closes without an answer, unless bytes have arrived meanwhile. Later reads fail too:
// net/http takes a line that a timeout has cut for a whole one, and reads on after it.
func (c *connection) closeUnlessReadable(timeout error) (again bool, result error) {
	if c.closedBy == Daemon {
		return false, timeout
	}
	if socket.StateOf(c.Conn) == socket.Readable {
		c.withdrawClose()
		if c.phase == receiving || c.phase == ending {
			c.arm(lateRestTimeout)
		}
		return true, nil
	}
	if c.closedBy == "" {
		c.closedBy = Daemon
	}
	c.recordClosed()
	return false, timeout
}
