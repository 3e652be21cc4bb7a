package callerserver

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/connlimit"
)

// refusal is the end of a connection before the next request, or the rest of its header section, is
// read. The request does not run.
type refusal struct {
	// status is that of the answer; zero means that there is none.
	status int
	// reason names the cause for logs and counters.
	reason string
}

// retryAfterNoRoom is the Retry-After, in seconds, of a request that does not fit beside others.
const retryAfterNoRoom = "0.5"

// text returns the answer.
func (r *refusal) text() string {
	retryAfter := ""
	if r.status == http.StatusServiceUnavailable {
		retryAfter = "Retry-After: " + retryAfterNoRoom + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\n%sConnection: close\r\n\r\n", r.status, http.StatusText(r.status), retryAfter)
}

const (
	// refusalLogPeriod is the shortest time between two lines on refusals.
	refusalLogPeriod = time.Second
	// refusalTime bounds the sending of a refusal and the reading of what its caller still sends, and
	// refusalBytes the bytes of the latter: a caller that is reset while it sends reads no answer.
	refusalTime  = 250 * time.Millisecond
	refusalBytes = 256 << 10
)

// refuse asks the goroutine that reads to refuse the next request. It reports whether that can be done:
// not once the header section has been passed on.
func (c *connection) refuse(r *refusal) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isReading := c.phase == awaiting || c.phase == receiving || c.phase == ""
	if !isReading || c.closedBy != "" {
		return false
	}
	if c.refusal == nil {
		c.refusal = r
		c.refused.Store(true)
		c.entry.SetRank(connlimit.Closing)
		// An error means that the connection is closed, which the next read tells.
		_ = c.applyDeadline()
	}
	return true
}

// isRefused reports whether the next request is refused.
func (c *connection) isRefused() bool { return c.refused.Load() }

// withdrawRefusal is called when the header section has been passed on whole, so that the request runs. The
// mutex must be held.
func (c *connection) withdrawRefusal() {
	if c.refusal == nil || c.closedBy != "" {
		return
	}
	c.refusal = nil
	c.refused.Store(false)
	// An error means that the connection is closed, which the next read tells.
	_ = c.applyDeadline()
}

// takeRefusal reports whether the next request is refused. The connection counts as closed from then on.
// The read then ends with a timeout, on which net/http closes the connection and writes nothing.
func (c *connection) takeRefusal() bool {
	if !c.isRefused() {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.refusal != nil && c.closedBy == "" {
		c.closedBy = Daemon
		c.isRefusalTaken = true
		c.stopTimer()
	}
	return c.refusal != nil
}

// carryOutRefusal is called when the connection is closed, and net/http holds nothing of the header
// section any more. It sends a refusal once, if there is any.
func (c *connection) carryOutRefusal() {
	if !c.isRefused() {
		return
	}
	c.mutex.Lock()
	r, isDue := c.refusal, c.refusal != nil && !c.isRefusalSent && c.isRefusalTaken
	c.isRefusalSent = isDue || c.isRefusalSent
	c.mutex.Unlock()
	if !isDue {
		return
	}
	c.recordRefusal(r)
	if r.status != 0 && c.server.currentStage() != closed {
		c.sendRefusal(r)
	}
}

// skipBufferBytes is the size of a read of what is not used.
const skipBufferBytes = 2 << 10

// sendRefusal sends a refusal and reads for a short time what the caller still sends. Errors mean that the
// caller has left or does not read.
func (c *connection) sendRefusal(r *refusal) {
	if c.SetDeadline(c.server.common.Clock.Now().Add(refusalTime)) != nil {
		return
	}
	if _, err := c.Conn.Write([]byte(r.text())); err != nil {
		return
	}
	half, ok := c.Conn.(writeCloser)
	if !ok || half.CloseWrite() != nil {
		return
	}
	unused := make([]byte, skipBufferBytes)
	for skipped := 0; skipped < refusalBytes; {
		count, err := c.Conn.Read(unused)
		if err != nil {
			return
		}
		skipped += count
	}
}

// recordRefusal counts a refusal, and logs it unless others were logged a moment ago.
func (c *connection) recordRefusal(r *refusal) {
	common := c.server.common
	common.Count("CallerConnections.Refused."+r.reason, 1)
	if r.status == 0 {
		return
	}
	unlogged, isDue := c.server.refusals.Take(common.Clock.Now())
	if !isDue {
		return
	}
	section := c.incoming.scanner.Section()
	common.Log.Info("RequestHeaderRefused", "Caller", c.RemoteAddr().String(), "Reason", r.reason, "Status", r.status,
		"Bytes", section.Bytes, "Lines", section.Lines, "EmptyBytes", section.EmptyBytes, "Unlogged", unlogged)
}
