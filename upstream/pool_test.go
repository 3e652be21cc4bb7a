package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// rig is a pool and a fake runner that answers each request with the same bytes.
type rig struct {
	c           *qt.C
	clock       *clockwork.FakeClock
	pool        *upstream.Pool
	address     string
	connections atomic.Int64
	// limit is how many requests are answered on each connection. The next
	// request closes it.
	limit atomic.Int64
	// dropAfter is how long a connection may be idle, in nanoseconds of the fake
	// clock. The next request on it is reset, without an earlier sign.
	dropAfter atomic.Int64
}

func newRig(t *testing.T, options upstream.Options, answer string) *rig {
	return newScriptedRig(t, options, func(conn net.Conn) { _, _ = io.WriteString(conn, answer) })
}

// newScriptedRig returns a rig whose runner answers each request by a call of respond.
func newScriptedRig(t *testing.T, options upstream.Options, respond func(net.Conn)) *rig {
	r := &rig{c: qt.New(t)}
	fake := clock.NewFake(time.Unix(0, 0))
	common := telemetry.NewCommon()
	common.Clock = fake
	r.clock = fake
	r.limit.Store(math.MaxInt64)
	r.dropAfter.Store(math.MaxInt64)
	r.pool = upstream.New(common, options)
	r.c.Cleanup(r.pool.CloseAllIdle)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.c.Assert(err, qt.IsNil)
	r.c.Cleanup(func() { _ = listener.Close() })
	r.address = listener.Addr().String()
	go r.serve(listener, respond)
	return r
}

func (r *rig) serve(listener net.Listener, respond func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.connections.Add(1)
		go r.serveConnection(conn, respond)
	}
}

func (r *rig) serveConnection(conn net.Conn, respond func(net.Conn)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	idleSince := r.clock.Now()
	for answered := int64(0); ; answered++ {
		_, _ = reader.Peek(1)
		if answered > 0 && int64(r.clock.Since(idleSince)) > r.dropAfter.Load() {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil || answered >= r.limit.Load() {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		idleSince = r.clock.Now()
		respond(conn)
	}
}

// send performs one complete exchange.
func (r *rig) send(change func(*upstream.Request)) error {
	request := upstream.Request{Address: r.address, Host: "runner", Method: http.MethodGet, Target: "/"}
	if change != nil {
		change(&request)
	}
	answer, err := r.pool.Send(context.Background(), request)
	if err != nil {
		return err
	}
	_, err = answer.ReadAll()
	answer.Close(err == nil)
	answer.Release()
	return err
}

func TestConnectionIsReused(t *testing.T) {
	r := newRig(t, upstream.DefaultOptions(), okAnswer)
	for range 3 {
		r.c.Assert(r.send(nil), qt.IsNil)
	}
	r.c.Check(r.connections.Load(), qt.Equals, int64(1))
}

func TestRequestForNewConnectionGetsOne(t *testing.T) {
	r := newRig(t, upstream.DefaultOptions(), okAnswer)
	for range 3 {
		r.c.Assert(r.send(func(request *upstream.Request) { request.NewConnection = true }), qt.IsNil)
	}
	r.c.Check(r.connections.Load(), qt.Equals, int64(3))
}

func TestIdleConnectionIsNotReusedAfterItsTimeout(t *testing.T) {
	const withTimeout = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3\r\nContent-Length: 2\r\n\r\nok"
	r := newRig(t, upstream.DefaultOptions(), withTimeout)
	r.c.Assert(r.send(nil), qt.IsNil)
	r.clock.Advance(1900 * time.Millisecond)
	r.c.Assert(r.send(nil), qt.IsNil)
	r.c.Check(r.connections.Load(), qt.Equals, int64(1))
	r.clock.Advance(2100 * time.Millisecond)
	r.c.Assert(r.send(nil), qt.IsNil)
	r.c.Check(r.connections.Load(), qt.Equals, int64(2))
}

func TestExtraBytesAfterAnswerCloseTheConnection(t *testing.T) {
	r := newRig(t, upstream.DefaultOptions(), okAnswer+okAnswer)
	for range 2 {
		r.c.Assert(r.send(nil), qt.IsNil)
	}
	r.c.Check(r.connections.Load(), qt.Equals, int64(2))
}

func TestIdleConnectionsAreBounded(t *testing.T) {
	options := upstream.DefaultOptions()
	options.MaxIdle = 1
	r := newRig(t, options, okAnswer)
	request := upstream.Request{Address: r.address, Host: "runner", Method: http.MethodGet, Target: "/"}
	var answers []*upstream.Answer
	for range 3 {
		answer, err := r.pool.Send(context.Background(), request)
		r.c.Assert(err, qt.IsNil)
		answers = append(answers, answer)
	}
	for _, answer := range answers {
		_, err := answer.ReadAll()
		r.c.Assert(err, qt.IsNil)
		answer.Close(true)
	}
	r.c.Check(r.pool.CloseIdleTo(r.address), qt.Equals, 1)
	r.c.Check(r.pool.CloseIdleTo(r.address), qt.Equals, 0)
}

func TestConnectionsToOneRunnerAreBounded(t *testing.T) {
	r := newRig(t, upstream.DefaultOptions(), okAnswer)
	request := upstream.Request{Address: r.address, Host: "runner", Method: http.MethodGet, Target: "/", MaxConnections: 1}
	answer, err := r.pool.Send(context.Background(), request)
	r.c.Assert(err, qt.IsNil)
	defer answer.Close(false)

	_, err = r.pool.Send(context.Background(), request)

	var unwritten *upstream.UnwrittenError
	r.c.Check(errors.As(err, &unwritten), qt.IsTrue)
	var limited *upstream.ConnectionLimitError
	r.c.Check(errors.As(err, &limited), qt.IsTrue)
}

func TestAnswerHeaderSizeIsBounded(t *testing.T) {
	long := "HTTP/1.1 200 OK\r\nX-Note: " + strings.Repeat("x", 10<<10) + "\r\nContent-Length: 2\r\n\r\nok"
	options := upstream.DefaultOptions()
	r := newRig(t, options, long)
	r.c.Assert(r.send(nil), qt.IsNil)
	options.MaxHeaderBytes = 8 << 10
	r = newRig(t, options, long)

	err := r.send(nil)

	var tooLong *upstream.HeaderTooLargeError
	r.c.Check(errors.As(err, &tooLong), qt.IsTrue, qt.Commentf("%v", err))
	var invalid *upstream.InvalidAnswerError
	r.c.Check(errors.As(err, &invalid), qt.IsTrue)
}

func TestBodyDoesNotCountTowardsHeaderLimit(t *testing.T) {
	options := upstream.DefaultOptions()
	options.MaxHeaderBytes = 8 << 10
	body := strings.Repeat("x", 100<<10)
	r := newRig(t, options, "HTTP/1.1 200 OK\r\nContent-Length: 102400\r\n\r\n"+body)
	r.c.Check(r.send(nil), qt.IsNil)
}

func TestErrorReportsWhetherConnectionWasReused(t *testing.T) {
	for _, scenario := range []struct {
		name    string
		answers int64
		reused  bool
	}{{"new", 0, false}, {"reused", 1, true}} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t, upstream.DefaultOptions(), okAnswer)
			r.limit.Store(scenario.answers)
			for range scenario.answers {
				r.c.Assert(r.send(nil), qt.IsNil)
			}

			err := r.send(nil)

			var invalid *upstream.InvalidAnswerError
			r.c.Assert(errors.As(err, &invalid), qt.IsTrue)
			r.c.Check(invalid.Reused, qt.Equals, scenario.reused)
		})
	}
}
