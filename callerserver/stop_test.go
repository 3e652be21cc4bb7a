package callerserver_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
)

// TestConnectionClosedByDaemonIsNotTakenForItsCaller guards against logs that blame the
// caller for a connection that the daemon closed under a request.
func TestConnectionClosedByDaemonIsNotTakenForItsCaller(t *testing.T) {
	closers := make(chan callerserver.Closer, 1)
	r := newStopRig(t, func(_ http.ResponseWriter, request *http.Request) {
		<-request.Context().Done()
		closers <- callerserver.ClosedBy(request.Context())
	})
	r.send()
	settle()
	r.c.Assert(r.server.Close(), qt.IsNil)
	r.c.Check(<-closers, qt.Equals, callerserver.Daemon)

	r = newStopRig(t, func(_ http.ResponseWriter, request *http.Request) {
		<-request.Context().Done()
		closers <- callerserver.ClosedBy(request.Context())
	})
	r.send()
	settle()
	r.c.Assert(r.conn.Close(), qt.IsNil)
	r.c.Check(<-closers, qt.Equals, callerserver.Caller)
}

// TestRequestReadBeforeStopIsAnswered guards against a stop that closes a kept
// connection whose request has been read but not parsed.
func TestRequestReadBeforeStopIsAnswered(t *testing.T) {
	r := newStopRig(t, answer)
	r.exchange()
	held := newGate()
	r.accepted.afterRead <- held
	r.send()
	<-held.reached
	r.server.BeginStop()
	drained := r.drain(context.Background())
	settle()
	close(held.open)
	r.c.Check(readAnswer(r.c, r.reader).closes, qt.IsTrue)
	r.c.Check(<-drained, qt.IsNil)
}

// TestRequestInKernelBeforeStopIsAnswered guards against a stop that closes a kept
// connection whose request waits in the kernel.
func TestRequestInKernelBeforeStopIsAnswered(t *testing.T) {
	r := newStopRig(t, answer)
	held := newGate()
	r.accepted.holdRead(readOfNextRequest, held)
	r.exchange()
	<-held.reached
	r.send()
	r.server.BeginStop()
	drained := r.drain(context.Background())
	settle()
	close(held.open)
	r.c.Check(readAnswer(r.c, r.reader).closes, qt.IsTrue)
	r.c.Check(<-drained, qt.IsNil)
}

// TestConnectionInBacklogIsServedBeforeStop guards against a stop that resets a
// connection which the kernel has established and the process has not accepted.
func TestConnectionInBacklogIsServedBeforeStop(t *testing.T) {
	r := newStopRig(t, answer)
	held := newGate()
	r.listener.beforeAccept <- held
	first, firstReader := r.dial()
	_, err := io.WriteString(first, get)
	r.c.Assert(err, qt.IsNil)
	readAnswer(r.c, firstReader)
	<-held.reached
	r.conn, r.reader = r.dial()
	r.send()
	r.server.BeginStop()
	drained := r.drain(context.Background())
	settle()
	close(held.open)
	r.c.Check(readAnswer(r.c, r.reader).closes, qt.IsTrue)
	r.c.Check(<-drained, qt.IsNil)
}

// TestStoppingServerAnswersOnOpenConnections guards against a stop that closes kept
// connections on which the caller is about to send.
func TestStoppingServerAnswersOnOpenConnections(t *testing.T) {
	r := newStopRig(t, answer)
	r.c.Check(r.exchange().closes, qt.IsFalse)
	r.server.BeginStop()
	settle()
	r.c.Check(r.exchange().closes, qt.IsTrue)
	r.c.Check(<-r.drain(context.Background()), qt.IsNil)
	r.c.Check(<-r.served, qt.IsNil)
}
