package callerserver

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywalk/cranberrywalk/connlimit"
	"github.com/cranberrywalk/cranberrywalk/socket"
)

// phase is what the server does with a connection.
type phase string

const (
	// awaiting means that no byte of the next request has been read.
	awaiting phase = "Awaiting"
	// receiving means that a part of the next request's header has been read.
	receiving phase = "Receiving"
	// received means that the header has been read, or that it can't be read.
	received phase = "Received"
	// serving means that a handler runs.
	serving phase = "Serving"
	// ending means that the handler has returned, and the next request is not awaited
	// yet.
	ending phase = "Ending"
	// lingering means that the server has closed its side of an idle connection and
	// waits for the caller's side.
	lingering phase = "Lingering"
)

// connection is a caller's connection. The server asks for its closing from any
// goroutine, but only the goroutine that reads the next request carries it out, after
// it has found that no byte of a request has been read or waits in the kernel.
type connection struct {
	net.Conn
	server *Server
	entry  *connlimit.Entry[*connection]

	// incoming is used by the reading goroutine only, except for its section.
	incoming incoming

	mutex sync.Mutex
	// phase is empty before the first state that net/http reports; guarded by mutex, as
	// all fields below.
	phase phase
	// hasRequested is true once a byte of a request was read.
	hasRequested bool
	// isReadAhead is true if a byte of the next request was read while a request was
	// served.
	isReadAhead bool
	// isAnswered is true once bytes were written since the first byte of the request.
	isAnswered bool
	// closing is the reason for which closing was asked for, or empty. While it is set,
	// reads time out at once.
	closing closeReason
	// readDeadline is the deadline that net/http has set.
	readDeadline time.Time
	// idle is the time since the connection last became idle.
	idle idlePeriod
	// end is what the end of the connection says of the answer.
	end answerEnd
	// closedBy is empty while the connection is open.
	closedBy Closer
	// refusal is set once the next request, or the rest of it, is not read.
	refusal *refusal
	// refused is true while refusal is set. It is read without the mutex.
	refused atomic.Bool
	// isRefusalTaken is true once the goroutine that reads has ended its reading for the refusal, and
	// isRefusalSent once that was carried out.
	isRefusalTaken bool
	isRefusalSent  bool
	// cut ends the reading of a body that has stalled. It is nil otherwise.
	cut func()
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
	isDraining := c.server.currentStage() >= draining
	c.restartIncoming()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	// A timeout that passed while the last answer was written concerns that one only.
	c.withdrawClose()
	c.endWithoutReset()
	if c.isReadAhead {
		c.isReadAhead = false
		c.receive()
		return
	}
	c.phase = awaiting
	c.rankAwaiting()
	c.idle = idlePeriod{began: c.server.common.Clock.Now(), timeout: c.server.options.Timeouts().Idle}
	switch {
	case isDraining && c.hasRequested:
		c.requestClose(stopping)
	case isDraining:
		c.arm(firstRequestTimeout)
	default:
		c.closeIfIdleTooLong()
	}
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

// endRequest is called when the handler has returned or panicked. net/http then reads the
// rest of the body, which may take as long as a header; meanwhile the connection makes room for others.
func (c *connection) endRequest(hasBody bool) {
	// Before the last bytes of the answer are sent, so that the caller's next request finds the room.
	c.closeSection()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase = ending
	if hasBody {
		c.setRank(connlimit.Stalled)
	}
	c.arm(c.headerTimeout())
}

// headerTimeout returns the timeout for the rest of a header or of a body that is not used.
func (c *connection) headerTimeout() time.Duration {
	return shorter(c.server.options.Timeouts().Header, c.server.options.MaxHeaderTime)
}

// shorter returns the shorter one of two timeouts, of which zero means none.
func shorter(x, y time.Duration) time.Duration {
	if x <= 0 || y <= 0 {
		return max(x, y)
	}
	return min(x, y)
}

// endWait is called when the header of a request has been read or can't be read, and when
// the connection was closed.
func (c *connection) endWait() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase = received
	c.withdrawRefusal()
	c.setRank(connlimit.Busy)
	c.stopTimer()
	c.withdrawClose()
}

// receive starts the header timeout.
func (c *connection) receive() {
	c.withdrawClose()
	c.phase = receiving
	c.hasRequested = true
	c.isAnswered = false
	c.setRank(connlimit.Receiving)
	c.arm(c.headerTimeout())
}

// recordError records that the caller has ended the connection, unless the error has a
// cause on this side.
func (c *connection) recordError(err error) {
	if errors.Is(err, net.ErrClosed) || isTimeout(err) {
		return
	}
	if c.closedBy == "" {
		c.closedBy = Caller
	}
}

// isTimeout reports whether a deadline of this side has passed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Write implements net.Conn.
func (c *connection) Write(content []byte) (int, error) {
	if c.isRefused() {
		return 0, os.ErrDeadlineExceeded
	}
	count, err := c.Conn.Write(content)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if count > 0 {
		c.isAnswered = true
	}
	if err != nil {
		c.recordError(err)
		c.end.hasFailed = true
	}
	return count, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.recordClose()
	c.endWithoutResetIfWhole()
	c.carryOutRefusal()
	c.entry.Leave()
	c.closeSection()
	err := c.Conn.Close()
	c.server.forget(c)
	return err
}

func (c *connection) recordClose() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closedBy != "" {
		return
	}
	c.closedBy = Daemon
	switch {
	case c.phase == awaiting:
		c.closing = serverClosed
		c.recordClosed()
		c.recordCrossing(socket.StateOf(c.Conn))
	case c.isUnanswered():
		c.recordCut("ConnectionClosedInRequest")
	}
}

// isUnanswered reports whether a request is under way whose answer has not been left to
// net/http.
func (c *connection) isUnanswered() bool {
	switch c.phase {
	case serving:
		return true
	case receiving, received:
		return !c.isAnswered
	default:
		return false
	}
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

func (c *connection) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
	}
}
