package callerserver_test

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAnswerWrittenSlowlyKeepsTheConnection guards against a connection that is closed as
// it becomes idle, because its last answer took longer to write than a header may take.
func TestAnswerWrittenSlowlyKeepsTheConnection(t *testing.T) {
	r := newStopRig(t, answer)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	r.c.Assert(err, qt.IsNil)
	held := newGate()
	listener := &writeGatedListener{TCPListener: plain.(*net.TCPListener), writes: &gates{}}
	listener.writes.hold(1, held)
	go func() { _ = r.server.Serve(listener) }()
	r.listener = &gatedListener{TCPListener: listener.TCPListener}
	r.conn, r.reader = r.dial()
	r.send()
	<-held.reached
	r.clock.Advance(headerTimeout)
	settle()
	close(held.open)
	r.c.Check(readAnswer(r.c, r.reader).closes, qt.IsFalse)
	settle()
	r.c.Check(r.exchange().status, qt.Equals, http.StatusOK)
}
