package callerserver_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRequestThatCrossesClosingIsLogged guards against a closing of an idle connection that
// loses a request without a trace.
func TestRequestThatCrossesClosingIsLogged(t *testing.T) {
	r := newStopRig(t, answer)
	closing := newGate()
	r.accepted.beforeCloseWrite.hold(1, closing)
	r.makeIdle()
	r.clock.Advance(idleTimeout)
	<-closing.reached
	r.send()
	settle()
	r.setIdle(2 * idleTimeout)
	close(closing.open)
	line := r.nextLine()
	r.c.Check(line, qt.Contains, `"msg"="RequestCrossedClose"`)
	r.c.Check(line, qt.Contains, `"Reason"="IdleTooLong"`)
	r.c.Check(line, qt.Contains, `"IdleMilliseconds"=10000`)
	r.c.Check(line, qt.Contains, `"TimeoutWhenIdleMilliseconds"=10000`)
	r.c.Check(line, qt.Contains, `"TimeoutMilliseconds"=10000`)
	r.c.Check(line, qt.Contains, `"TimeoutNowMilliseconds"=20000`)
	r.c.Check(line, qt.Contains, `"HasTimeoutChanged"=true`)
	r.c.Check(r.count("CallerConnections.RequestsCrossedClose"), qt.Equals, int64(1))
	r.c.Check(r.count("CallerConnections.Closed.IdleTooLong.OverTimeout"), qt.Equals, int64(1))
}

// nextLine waits for a log line.
func (r *stopRig) nextLine() string {
	select {
	case line := <-r.lines:
		return line
	case <-time.After(closeTimeout):
		r.c.Fatal("nothing was logged")
		return ""
	}
}

// TestResetAtClosingIsLogged covers a caller that resets a connection which the server closes.
func TestResetAtClosingIsLogged(t *testing.T) {
	r := newStopRig(t, answer)
	r.makeIdle()
	r.clock.Advance(idleTimeout)
	_, err := r.reader.ReadByte()
	r.c.Assert(err, qt.Equals, io.EOF)
	r.c.Assert(r.conn.(*net.TCPConn).SetLinger(0), qt.IsNil)
	r.c.Assert(r.conn.Close(), qt.IsNil)
	r.c.Check(r.nextLine(), qt.Contains, `"msg"="ConnectionResetAtClose"`)
	r.c.Check(r.count("CallerConnections.ResetAtClose"), qt.Equals, int64(1))
}

// TestCallerThatClosesTooIsNotLogged covers a closing that no request crosses.
func TestCallerThatClosesTooIsNotLogged(t *testing.T) {
	r := newStopRig(t, answer)
	r.makeIdle()
	r.clock.Advance(idleTimeout)
	_, err := r.reader.ReadByte()
	r.c.Assert(err, qt.Equals, io.EOF)
	r.c.Assert(r.conn.Close(), qt.IsNil)
	r.c.Check(r.awaitDrained(r.drain(context.Background())), qt.IsNil)
	r.c.Check(r.lines, qt.HasLen, 0)
	r.c.Check(r.count("CallerConnections.Closed.IdleTooLong"), qt.Equals, int64(1))
	r.c.Check(r.count("CallerConnections.RequestsCrossedClose"), qt.Equals, int64(0))
}

// TestClosedConnectionsAreCountedByTheirIdleTime covers the classes of how long connections
// were idle before a stop closed them.
func TestClosedConnectionsAreCountedByTheirIdleTime(t *testing.T) {
	for _, scenario := range []struct {
		name  string
		idle  time.Duration
		class string
	}{
		{"callers may use it", idleTimeout * 4 / 5, "Reusable"},
		{"callers should not use it", idleTimeout * 9 / 10, "NearTimeout"},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newStopRig(t, answer)
			r.makeIdle()
			r.clock.Advance(scenario.idle)
			drained := r.drain(context.Background())
			r.expectClosed()
			r.c.Check(r.count("CallerConnections.Closed.Stopping."+scenario.class), qt.Equals, int64(1))
			r.c.Check(r.awaitDrained(drained), qt.IsNil)
		})
	}
}
