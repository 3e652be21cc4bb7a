package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// TestRequestIsNotSentOnConnectionThatIsProbablyStale guards against a request that may
// not be repeated being sent on a connection that has been idle for about as long as
// another one that was just reset.
func TestRequestIsNotSentOnConnectionThatIsProbablyStale(t *testing.T) {
	r := newRig(t, upstream.DefaultOptions(), okAnswer)
	r.dropAfter.Store(int64(300 * time.Millisecond))
	r.c.Assert(r.send(nil), qt.IsNil)
	r.clock.Advance(400 * time.Millisecond)
	r.c.Assert(r.send(nil), qt.IsNotNil)
	for range 5 {
		r.c.Check(r.send(nil), qt.IsNil)
		r.clock.Advance(400 * time.Millisecond)
	}
}

// TestIdleConnectionsAreReusedAgainAfterSomeTime guards against a few resets taking away
// the reuse of connections for good, and against the idle limit never being lifted.
func TestIdleConnectionsAreReusedAgainAfterSomeTime(t *testing.T) {
	r := newRig(t, upstream.DefaultOptions(), okAnswer)
	r.dropAfter.Store(int64(300 * time.Millisecond))
	r.c.Assert(r.send(nil), qt.IsNil)
	r.clock.Advance(400 * time.Millisecond)
	r.c.Assert(r.send(nil), qt.IsNotNil)
	r.c.Check(r.pool.IdleLimit(), qt.Equals, 200*time.Millisecond)
	r.dropAfter.Store(int64(time.Hour))
	r.clock.Advance(20 * time.Second)
	opened := r.connections.Load()
	for range 5 {
		r.c.Assert(r.send(nil), qt.IsNil)
		r.clock.Advance(400 * time.Millisecond)
	}
	r.c.Check(r.connections.Load()-opened, qt.Equals, int64(1))
	r.c.Check(r.pool.IdleLimit(), qt.Equals, time.Duration(0))
}

// TestStaleConnectionKeepsNumberOfOpenOnes guards against connections being opened beside
// those that are not reused, which could exceed what the runner accepts.
func TestStaleConnectionKeepsNumberOfOpenOnes(t *testing.T) {
	r := newRig(t, upstream.DefaultOptions(), okAnswer)
	r.dropAfter.Store(int64(300 * time.Millisecond))
	limited := func(request *upstream.Request) { request.MaxConnections = 1 }
	r.c.Assert(r.send(limited), qt.IsNil)
	r.clock.Advance(400 * time.Millisecond)
	r.c.Assert(r.send(limited), qt.IsNotNil)
	for range 3 {
		r.c.Check(r.send(limited), qt.IsNil)
		r.clock.Advance(400 * time.Millisecond)
	}
	r.c.Check(r.pool.CloseIdleTo(r.address), qt.Equals, 1)
}

// failingRunner answers the first request on its first connection, and fails the next
// request in a given way.
type failingRunner struct {
	clock *clockwork.FakeClock
	// partialAnswer is sent and delay passes before the connection is reset.
	partialAnswer string
	delay         time.Duration
}

func (f *failingRunner) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	_, _ = io.WriteString(conn, okAnswer)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	_, _ = io.WriteString(conn, f.partialAnswer)
	if f.partialAnswer == "" {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	f.clock.Advance(f.delay)
	_ = conn.Close()
}

// TestResetIsTakenForStaleConnection checks which failures of a reused connection are
// taken for the reset of a stale one, and that these are counted.
func TestResetIsTakenForStaleConnection(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		idle   time.Duration
		runner failingRunner
		// tolerates is true if the request tolerates a reset.
		tolerates bool
		// counter is the counter that counts the failure, or empty.
		counter string
	}{
		{"reset at once", 400 * time.Millisecond, failingRunner{}, false, "Upstream.StaleConnections.NotTolerated"},
		{"reset of a request that can be repeated", 400 * time.Millisecond, failingRunner{}, true, "Upstream.StaleConnections.Tolerated"},
		{"reset after a short idle time", 20 * time.Millisecond, failingRunner{}, false, ""},
		{"reset after a while", 400 * time.Millisecond, failingRunner{delay: time.Second}, false, ""},
		{"reset within the answer", 400 * time.Millisecond, failingRunner{partialAnswer: "HTTP/1.1 200 OK\r\n"}, false, ""},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			fake := clock.NewFake(time.Unix(0, 0))
			common := telemetry.NewCommon()
			common.Clock, scenario.runner.clock = fake, fake
			pool := upstream.New(common, upstream.DefaultOptions())
			request := upstream.Request{
				Address: listen(c, scenario.runner.serve), Host: "runner", Method: http.MethodGet, Target: "/",
				ToleratesReset: scenario.tolerates,
			}
			answer, err := pool.Send(context.Background(), request)
			c.Assert(err, qt.IsNil)
			_, err = answer.ReadAll()
			c.Assert(err, qt.IsNil)
			answer.Close(true)
			fake.Advance(scenario.idle)

			_, err = pool.Send(context.Background(), request)

			var invalid *upstream.InvalidAnswerError
			c.Assert(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(invalid.Stale, qt.Equals, scenario.counter != "", qt.Commentf("%v", err))
			c.Check(invalid.Idle, qt.Equals, scenario.idle)
			if scenario.counter != "" {
				c.Check(metrics.GetOrRegisterCounter(scenario.counter, common.Metrics).Count(), qt.Equals, int64(1))
			}
		})
	}
}

// listen serves one connection and returns the address to connect to.
func listen(c *qt.C, serve func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		serve(conn)
	}()
	return listener.Addr().String()
}
