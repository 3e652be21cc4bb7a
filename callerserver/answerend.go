package callerserver

import "net/http"

// An answer without a length and without chunks ends with its connection: a caller takes what
// came before a FIN for the whole answer. While such an answer is not whole, the connection is
// set so that the kernel resets it when it is closed, also by the death of the process. A
// reset discards bytes that are not sent yet, so that setting is taken back before a whole
// answer ends.

// answerEnd is what the end of a connection says of the answer that is under way.
type answerEnd struct {
	// resets is true while a closing resets the connection.
	resets bool
	// isComplete is true once the handler has returned. net/http then writes the last bytes
	// and closes the connection or awaits the next request.
	isComplete bool
	// hasFailed is true if a write has failed, so that bytes of the answer are missing.
	hasFailed bool
}

// lingerSetter is a connection for which the kernel's handling of a closing can be set.
type lingerSetter interface {
	SetLinger(seconds int) error
}

// The arguments of SetLinger.
const (
	// discardAndReset makes a closing discard unsent bytes and reset the connection.
	discardAndReset = 0
	// sendInBackground is the default: unsent bytes and a FIN follow the closing.
	sendInBackground = -1
)

// mayEndWithConnection reports whether net/http may end an answer with its connection, which
// it decides later, by the length of the answer.
func mayEndWithConnection(r *http.Request, status int, header http.Header) bool {
	hasBody := r.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
	if !hasBody || header.Get("Content-Length") != "" {
		return false
	}
	return !r.ProtoAtLeast(1, 1) || header.Get("Transfer-Encoding") != ""
}

// endWithReset makes a closing reset the connection until the answer is whole.
func (c *connection) endWithReset() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if setter, ok := c.Conn.(lingerSetter); ok {
		c.end = answerEnd{resets: true, hasFailed: c.end.hasFailed}
		// An error means that the connection is closed already.
		_ = setter.SetLinger(discardAndReset)
	}
}

// completeAnswer is called when the handler has returned without a panic.
func (c *connection) completeAnswer() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.end.isComplete = true
}

// endWithoutResetIfWhole is called before the connection is closed. While all connections are
// closed, the last bytes of an answer may not be written yet.
func (c *connection) endWithoutResetIfWhole() {
	isClosed := c.server.currentStage() == closed
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.end.isComplete && !c.end.hasFailed && !isClosed {
		c.endWithoutReset()
	}
}

// endWithoutReset takes back endWithReset, if it was called. The mutex must be held.
func (c *connection) endWithoutReset() {
	if !c.end.resets {
		return
	}
	c.end.resets = false
	// The check in endWithReset has shown the type. An error means that the connection is
	// closed already.
	_ = c.Conn.(lingerSetter).SetLinger(sendInBackground)
}
