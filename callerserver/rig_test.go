package callerserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// gate stops a goroutine at one point until the test opens it.
type gate struct {
	reached, open chan struct{}
}

func newGate() *gate {
	return &gate{reached: make(chan struct{}), open: make(chan struct{})}
}

// pass blocks until the gate is open. A nil gate is open.
func (g *gate) pass() {
	if g == nil {
		return
	}
	close(g.reached)
	<-g.open
}

// gatedListener returns connections whose next read can be held. It also holds its own
// accepts.
type gatedListener struct {
	*net.TCPListener
	accepted chan *gatedConn
	// beforeAccept holds an accept before it takes the connection from the kernel.
	beforeAccept chan *gate
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	select {
	case g := <-l.beforeAccept:
		g.pass()
	default:
	}
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	gated := &gatedConn{TCPConn: conn, beforeRead: make(map[int]*gate), afterRead: make(chan *gate, 1)}
	l.accepted <- gated
	return gated, nil
}

// gatedConn holds a read before it asks the kernel, or after the kernel has returned
// bytes, like a goroutine that gets no processor time at that point.
type gatedConn struct {
	*net.TCPConn
	afterRead chan *gate

	mutex sync.Mutex
	// reads counts the calls of Read, and beforeRead holds gates by that count; both
	// are guarded by mutex.
	reads      int
	beforeRead map[int]*gate
}

// readOfNextRequest is the call of Read with which net/http waits for the second
// request on a connection. The call before it watches for a caller that disconnects.
const readOfNextRequest = 3

func (c *gatedConn) holdRead(number int, g *gate) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.beforeRead[number] = g
}

func (c *gatedConn) nextGate() *gate {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reads++
	return c.beforeRead[c.reads]
}

// Read implements net.Conn.
func (c *gatedConn) Read(buffer []byte) (int, error) {
	c.nextGate().pass()
	count, err := c.TCPConn.Read(buffer)
	if count == 0 {
		return count, err
	}
	select {
	case g := <-c.afterRead:
		g.pass()
	default:
	}
	return count, err
}

// stopRig is a server on gated connections with a fake clock, and one caller.
type stopRig struct {
	c        *qt.C
	server   *callerserver.Server
	listener *gatedListener
	clock    *clockwork.FakeClock
	common   telemetry.Common
	served   chan error
	// accepted is the server's side of conn.
	accepted *gatedConn
	conn     net.Conn
	reader   *bufio.Reader
}

func newStopRig(t *testing.T, handler http.HandlerFunc) *stopRig {
	r := &stopRig{c: qt.New(t), common: telemetry.NewCommon(), clock: clock.NewFake(time.Unix(1000, 0)), served: make(chan error, 1)}
	r.common.Clock = r.clock
	r.server = callerserver.New(r.common, callerserver.Options{
		Timeouts: func() callerserver.Timeouts { return callerserver.Timeouts{Idle: idleTimeout, Header: headerTimeout} },
	}, handler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.c.Assert(err, qt.IsNil)
	r.listener = &gatedListener{
		TCPListener: listener.(*net.TCPListener), accepted: make(chan *gatedConn, 10), beforeAccept: make(chan *gate, 1),
	}
	go func() { r.served <- r.server.Serve(r.listener) }()
	r.c.Cleanup(func() { _ = r.server.Close() })
	r.conn, r.reader = r.dial()
	r.accepted = <-r.listener.accepted
	return r
}

const (
	idleTimeout   = 10 * time.Second
	headerTimeout = 2 * time.Second
)

func (r *stopRig) dial() (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", r.listener.Addr().String())
	r.c.Assert(err, qt.IsNil)
	r.c.Cleanup(func() { _ = conn.Close() })
	r.c.Assert(conn.SetDeadline(time.Now().Add(closeTimeout)), qt.IsNil)
	return conn, bufio.NewReader(conn)
}

func (r *stopRig) send() {
	_, err := io.WriteString(r.conn, get)
	r.c.Assert(err, qt.IsNil)
}

// reply is what a caller learns from an answer.
type reply struct {
	status int
	// closes is true if the answer says that the connection will be closed.
	closes bool
}

// exchange sends a request and reads its answer.
func (r *stopRig) exchange() reply {
	r.send()
	return readAnswer(r.c, r.reader)
}

func readAnswer(c *qt.C, reader *bufio.Reader) reply {
	answer, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, answer.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Body.Close(), qt.IsNil)
	return reply{status: answer.StatusCode, closes: answer.Close}
}

// drain starts to drain the server. The returned channel receives the result.
func (r *stopRig) drain(ctx context.Context) <-chan error {
	drained := make(chan error, 1)
	go func() { drained <- r.server.Drain(ctx) }()
	return drained
}

// settle gives goroutines that a test can't observe the time to act. A test that needs
// it passes as well without.
func settle() { time.Sleep(50 * time.Millisecond) }
