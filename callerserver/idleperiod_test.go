package callerserver_test

import (
	"io"
	"net"
	"net/http"
	"strings"
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

// TestLateHeaderIsNotTakenForWhole guards against a request that is read on after its
// header was given up: net/http takes a line that a timeout has cut for a whole one.
func TestLateHeaderIsNotTakenForWhole(t *testing.T) {
	r := newStopRig(t, answer)
	r.makeIdle()
	head := "GET / HTTP/1.1\r\nHost: lib"
	waiting := newGate()
	r.accepted.beforeRead.holdNext(waiting)
	_, err := io.WriteString(r.conn, head)
	r.c.Assert(err, qt.IsNil)
	<-waiting.reached
	again := newGate()
	r.accepted.beforeRead.holdNext(again)
	close(waiting.open)
	settle()
	r.clock.Advance(headerTimeout)
	<-again.reached
	_, err = io.WriteString(r.conn, "rary\r\n\r\n")
	r.c.Assert(err, qt.IsNil)
	settle()
	close(again.open)
	_, err = r.reader.Peek(1)
	r.c.Check(err, qt.IsNotNil)
}

// TestUnreadAnswerKeepsTheConnection guards against an idle timeout that begins before the
// caller has received the last answer.
func TestUnreadAnswerKeepsTheConnection(t *testing.T) {
	r := newStopRig(t, answerAtLength)
	reading := r.holdNextIdle()
	r.send()
	<-reading.reached
	close(reading.open)
	r.clock.Advance(idleTimeout)
	settle()
	r.c.Check(readAnswer(r.c, r.reader).closes, qt.IsFalse)
	r.c.Check(r.exchange().status, qt.Equals, http.StatusOK)
}

// longAnswer is the length of an answer that fills the buffers of a connection.
const longAnswer = 1 << 20

func answerAtLength(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, strings.Repeat("a", longAnswer))
}
