package callerserver_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
)

// TestConnectionClosedByDaemonIsNotTakenForItsCaller guards against logs that blame the
// caller for a connection that the daemon closed under a request.
func TestConnectionClosedByDaemonIsNotTakenForItsCaller(t *testing.T) {
	closers, started := make(chan callerserver.Closer, 1), make(chan struct{}, 1)
	handler := func(_ http.ResponseWriter, request *http.Request) {
		started <- struct{}{}
		<-request.Context().Done()
		closers <- callerserver.ClosedBy(request.Context())
	}
	r := newStopRig(t, handler)
	r.send()
	<-started
	r.c.Assert(r.server.Close(), qt.IsNil)
	r.c.Check(<-closers, qt.Equals, callerserver.Daemon)

	r = newStopRig(t, handler)
	r.send()
	<-started
	r.c.Assert(r.conn.Close(), qt.IsNil)
	r.c.Check(<-closers, qt.Equals, callerserver.Caller)
}

// TestRequestReadBeforeStopIsAnswered guards against a stop that closes a kept
// connection whose request has been read but not parsed.
func TestRequestReadBeforeStopIsAnswered(t *testing.T) {
	r := newStopRig(t, answer)
	r.exchange()
	held := newGate()
	r.accepted.afterRead.hold(secondRead, held)
	r.send()
	<-held.reached
	r.server.BeginStop()
	drained := r.drain(context.Background())
	settle()
	close(held.open)
	r.c.Check(readAnswer(r.c, r.reader).closes, qt.IsTrue)
	r.c.Check(r.awaitDrained(drained), qt.IsNil)
}

// TestRequestInKernelBeforeStopIsAnswered guards against a stop that closes a kept
// connection whose request waits in the kernel.
func TestRequestInKernelBeforeStopIsAnswered(t *testing.T) {
	r := newStopRig(t, answer)
	held := newGate()
	r.accepted.beforeRead.hold(readOfNextRequest, held)
	r.exchange()
	<-held.reached
	r.send()
	r.server.BeginStop()
	drained := r.drain(context.Background())
	settle()
	close(held.open)
	r.c.Check(readAnswer(r.c, r.reader).closes, qt.IsTrue)
	r.c.Check(r.awaitDrained(drained), qt.IsNil)
}

// TestConnectionInBacklogIsServedBeforeStop guards against a stop that resets a
// connection which the kernel has established and the process has not accepted.
func TestConnectionInBacklogIsServedBeforeStop(t *testing.T) {
	r := newStopRig(t, answer)
	held := newGate()
	r.listener.accepts.hold(heldAccept, held)
	r.dial()
	<-held.reached
	r.conn, r.reader = r.dial()
	r.send()
	r.server.BeginStop()
	drained := r.drain(context.Background())
	settle()
	close(held.open)
	r.c.Check(readAnswer(r.c, r.reader).closes, qt.IsTrue)
	r.c.Check(r.awaitDrained(drained), qt.IsNil)
}

// TestStoppingServerAnswersOnOpenConnections guards against a stop that closes kept
// connections on which the caller is about to send.
func TestStoppingServerAnswersOnOpenConnections(t *testing.T) {
	r := newStopRig(t, answer)
	r.c.Check(r.exchange().closes, qt.IsFalse)
	r.server.BeginStop()
	settle()
	r.c.Check(r.exchange().closes, qt.IsTrue)
	r.c.Check(r.awaitDrained(r.drain(context.Background())), qt.IsNil)
	r.c.Check(<-r.served, qt.IsNil)
}

// TestIdleConnectionsAreClosedByDrain covers connections on which nothing is under way.
func TestIdleConnectionsAreClosedByDrain(t *testing.T) {
	r := newStopRig(t, answer)
	r.exchange()
	unused, unusedReader := r.dial()
	r.server.BeginStop()
	r.c.Check(r.awaitDrained(r.drain(context.Background())), qt.IsNil)
	_, err := r.reader.ReadByte()
	r.c.Check(err, qt.Equals, io.EOF)
	_, err = unusedReader.ReadByte()
	r.c.Check(err, qt.IsNotNil)
	r.c.Check(unused.Close(), qt.IsNil)
	_, err = net.Dial("tcp", r.listener.Addr().String())
	r.c.Check(err, qt.IsNotNil)
}

// TestConnectionBecomesIdleDuringDrain covers a request that ends after its server has
// begun to drain: it is answered, and its connection closes then.
func TestConnectionBecomesIdleDuringDrain(t *testing.T) {
	release := make(chan struct{})
	r := newStopRig(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		r := http.NewResponseController(w)
		_ = r.Flush()
		<-release
	})
	r.send()
	_, err := r.reader.Peek(1)
	r.c.Assert(err, qt.IsNil)
	r.server.BeginStop()
	drained := r.drain(context.Background())
	settle()
	close(release)
	r.c.Check(readAnswer(r.c, r.reader), qt.Equals, reply{status: http.StatusOK})
	r.c.Check(r.awaitDrained(drained), qt.IsNil)
}

// TestRequestsAreAnsweredWhenTimeForStopIsOver guards against a stop that ends with the
// requests under way cut off without an answer.
func TestRequestsAreAnsweredWhenTimeForStopIsOver(t *testing.T) {
	started := make(chan struct{})
	r := newStopRig(t, func(w http.ResponseWriter, request *http.Request) {
		close(started)
		<-request.Context().Done()
		if callerserver.IsStopped(request.Context()) {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	})
	r.send()
	<-started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	drained := r.drain(ctx)
	r.c.Check(readAnswer(r.c, r.reader), qt.Equals, reply{status: http.StatusGatewayTimeout, closes: true})
	var cut *callerserver.CutError
	r.c.Assert(r.awaitDrained(drained), qt.ErrorAs, &cut)
	r.c.Check(cut.Open, qt.Equals, 1)
}

// TestIdleTimeoutSparesARequest guards against an idle timeout that closes a connection
// while the process reads the next request, or while the request waits in the kernel.
func TestIdleTimeoutSparesARequest(t *testing.T) {
	for name, hold := range map[string]func(*stopRig, *gate){
		"that was read":         func(r *stopRig, held *gate) { r.accepted.afterRead.hold(secondRead, held) },
		"that waits to be read": func(r *stopRig, held *gate) { r.accepted.beforeRead.hold(readOfNextRequest, held) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newStopRig(t, answer)
			held := newGate()
			hold(r, held)
			r.exchange()
			r.send()
			<-held.reached
			r.clock.Advance(2 * idleTimeout)
			settle()
			close(held.open)
			r.c.Check(readAnswer(r.c, r.reader).status, qt.Equals, http.StatusOK)
		})
	}
}
