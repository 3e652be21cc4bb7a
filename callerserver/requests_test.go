package callerserver_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// promptly bounds the wait for an answer that is due at once.
const promptly = 2 * time.Second

// TestImplicitHeaderAnnouncesTheStop guards against a stopping server that keeps a
// connection open after an answer whose header net/http writes itself.
func TestImplicitHeaderAnnouncesTheStop(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"nothing is written": func(http.ResponseWriter, *http.Request) {},
		"the first call is Flush": func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).Flush()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newStopRig(t, handler)
			r.server.BeginStop()
			r.c.Check(r.exchange().closes, qt.IsTrue)
		})
	}
}

// TestInterimAnswerDoesNotHideTheStop guards against an interim answer that is taken for
// the final header.
func TestInterimAnswerDoesNotHideTheStop(t *testing.T) {
	interim, release := make(chan struct{}), make(chan struct{})
	r := newStopRig(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		close(interim)
		<-release
		w.WriteHeader(http.StatusOK)
	})
	r.send()
	<-interim
	r.server.BeginStop()
	close(release)
	r.c.Check(readAnswer(r.c, r.reader).status, qt.Equals, http.StatusEarlyHints)
	r.c.Check(readAnswer(r.c, r.reader), qt.Equals, reply{status: http.StatusOK, closes: true})
}

// TestLongBodyIsRefusedAtOnce guards against a server that hides from
// http.MaxBytesReader that the writer can refuse the rest of a body: it then waits for a
// body that is too long before it writes the refusal.
func TestLongBodyIsRefusedAtOnce(t *testing.T) {
	r := newStopRig(t, func(w http.ResponseWriter, request *http.Request) {
		_, err := io.ReadAll(http.MaxBytesReader(w, request.Body, 4))
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	})
	_, err := io.WriteString(r.conn, "POST / HTTP/1.1\r\nHost: library\r\nContent-Length: 1000\r\n\r\n123456")
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(r.conn.SetReadDeadline(time.Now().Add(promptly)), qt.IsNil)
	r.c.Check(readAnswer(r.c, r.reader).status, qt.Equals, http.StatusRequestEntityTooLarge)
}

// TestStalledBodyDoesNotHoldUpTheStop guards against a stop that waits to the end of its
// time for a caller that was answered and does not send the rest of its body.
func TestStalledBodyDoesNotHoldUpTheStop(t *testing.T) {
	answered := make(chan struct{})
	r := newStopRig(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnauthorized)
		_ = http.NewResponseController(w).Flush()
		close(answered)
	})
	r.server.BeginStop()
	_, err := io.WriteString(r.conn, "POST / HTTP/1.1\r\nHost: library\r\nContent-Length: 1000\r\n\r\n1")
	r.c.Assert(err, qt.IsNil)
	<-answered
	statusLine, err := r.reader.ReadString('\n')
	r.c.Assert(err, qt.IsNil)
	r.c.Check(statusLine, qt.Equals, "HTTP/1.1 401 Unauthorized\r\n")
	ctx, cancel := context.WithTimeout(context.Background(), promptly)
	defer cancel()
	r.c.Check(r.awaitDrained(r.drain(ctx)), qt.IsNil)
}

// TestPipelinedRequestInBufferIsAnswered covers two requests in one segment, the second
// of which net/http has in its buffer when the server drains.
func TestPipelinedRequestInBufferIsAnswered(t *testing.T) {
	started, release := make(chan struct{}, 2), make(chan struct{})
	r := newStopRig(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		started <- struct{}{}
		<-release
	})
	_, err := io.WriteString(r.conn, get+get)
	r.c.Assert(err, qt.IsNil)
	<-started
	r.server.BeginStop()
	drained := r.drain(context.Background())
	settle()
	close(release)
	r.c.Check(readAnswer(r.c, r.reader).closes, qt.IsFalse)
	r.c.Check(readAnswer(r.c, r.reader).closes, qt.IsTrue)
	r.c.Check(r.awaitDrained(drained), qt.IsNil)
}

// TestDrainWithoutServeAndTwice covers stops that come early or more than once.
func TestDrainWithoutServeAndTwice(t *testing.T) {
	r := newStopRig(t, answer)
	r.exchange()
	r.server.BeginStop()
	r.server.BeginStop()
	r.c.Check(r.awaitDrained(r.drain(context.Background())), qt.IsNil)
	r.c.Check(r.awaitDrained(r.drain(context.Background())), qt.IsNil)
	unused := callerserver.New(r.common, callerserver.Options{}, http.HandlerFunc(answer))
	r.c.Check(unused.Drain(context.Background(), callerserver.LastAnswersTime), qt.IsNil)
	r.c.Check(unused.Close(), qt.IsNil)
}

// TestOldProtocolEndsWithStop covers HTTP/1.0 with kept connections.
func TestOldProtocolEndsWithStop(t *testing.T) {
	r := newStopRig(t, answer)
	_, err := io.WriteString(r.conn, "GET / HTTP/1.0\r\nHost: library\r\nConnection: keep-alive\r\n\r\n")
	r.c.Assert(err, qt.IsNil)
	r.c.Check(readAnswer(r.c, r.reader).closes, qt.IsFalse)
	r.server.BeginStop()
	r.c.Check(r.awaitDrained(r.drain(context.Background())), qt.IsNil)
	_, err = r.reader.ReadByte()
	r.c.Check(err, qt.Equals, io.EOF)
}

// TestExpectationIsAnsweredDuringDrain covers a request whose caller waits for 100.
func TestExpectationIsAnsweredDuringDrain(t *testing.T) {
	started := make(chan struct{})
	r := newStopRig(t, func(w http.ResponseWriter, request *http.Request) {
		close(started)
		_, _ = io.Copy(io.Discard, request.Body)
		w.WriteHeader(http.StatusOK)
	})
	_, err := io.WriteString(r.conn, "POST / HTTP/1.1\r\nHost: library\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	r.c.Assert(err, qt.IsNil)
	<-started
	r.server.BeginStop()
	drained := r.drain(context.Background())
	settle()
	r.c.Check(readAnswer(r.c, r.reader).status, qt.Equals, http.StatusContinue)
	_, err = io.WriteString(r.conn, "ab")
	r.c.Assert(err, qt.IsNil)
	r.c.Check(readAnswer(r.c, r.reader), qt.Equals, reply{status: http.StatusOK, closes: true})
	r.c.Check(r.awaitDrained(drained), qt.IsNil)
}

// writeGatedConn holds a write after the kernel has taken the bytes.
type writeGatedConn struct {
	*net.TCPConn
	writes *gates
}

func (c *writeGatedConn) Write(content []byte) (int, error) {
	count, err := c.TCPConn.Write(content)
	c.writes.pass()
	return count, err
}

type writeGatedListener struct {
	*net.TCPListener
	writes *gates
}

func (l *writeGatedListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &writeGatedConn{TCPConn: conn, writes: l.writes}, nil
}

// TestByteReadAfterHandlerCountsAsRequest guards against a stop that closes a connection
// in the middle of a header whose first byte net/http has read between the end of the
// handler and the end of the answer.
func TestByteReadAfterHandlerCountsAsRequest(t *testing.T) {
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
	r.c.Check(readAnswer(r.c, r.reader).closes, qt.IsFalse)
	_, err = io.WriteString(r.conn, get[:1])
	r.c.Assert(err, qt.IsNil)
	settle()
	r.server.BeginStop()
	drained := r.drain(context.Background())
	settle()
	close(held.open)
	settle()
	_, err = io.WriteString(r.conn, get[1:])
	r.c.Assert(err, qt.IsNil)
	next, err := http.ReadResponse(r.reader, nil)
	r.c.Assert(err, qt.IsNil)
	r.c.Check(next.Close, qt.IsTrue)
	r.c.Check(next.Body.Close(), qt.IsNil)
	r.c.Check(r.awaitDrained(drained), qt.IsNil)
}

// vanishedConn fails like a connection whose caller has vanished: the kernel gives up
// after its keep-alive probes, or after TCP_USER_TIMEOUT.
type vanishedConn struct {
	*net.TCPConn
	reads int
}

func (c *vanishedConn) Read(buffer []byte) (int, error) {
	c.reads++
	if c.reads > 1 {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
	}
	return c.TCPConn.Read(buffer)
}

type vanishedListener struct{ *net.TCPListener }

func (l *vanishedListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &vanishedConn{TCPConn: conn}, nil
}

// TestVanishedCallerIsNotTakenForTheDaemon guards against logs that say that the daemon has
// closed a connection which the kernel gave up.
func TestVanishedCallerIsNotTakenForTheDaemon(t *testing.T) {
	closers := make(chan callerserver.Closer, 1)
	r := newStopRig(t, func(_ http.ResponseWriter, request *http.Request) {
		<-request.Context().Done()
		closers <- callerserver.ClosedBy(request.Context())
	})
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	r.c.Assert(err, qt.IsNil)
	listener := &vanishedListener{TCPListener: plain.(*net.TCPListener)}
	go func() { _ = r.server.Serve(listener) }()
	r.listener = &gatedListener{TCPListener: listener.TCPListener}
	r.conn, r.reader = r.dial()
	r.send()
	r.c.Check(<-closers, qt.Equals, callerserver.Caller)
}

// TestLatestHeaderTimeSparesARequest guards against a request on a new connection that is
// dropped, although it waits in the kernel, because MaxHeaderTime has passed since the
// connection was accepted.
func TestLatestHeaderTimeSparesARequest(t *testing.T) {
	c := qt.New(t)
	server := callerserver.New(telemetry.NewCommon(), callerserver.Options{MaxHeaderTime: short}, http.HandlerFunc(answer))
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	held := newGate()
	listener := &heldReadListener{TCPListener: plain.(*net.TCPListener), reads: &gates{}}
	listener.reads.hold(1, held)
	go func() { _ = server.Serve(listener) }()
	c.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", plain.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	<-held.reached
	_, err = io.WriteString(conn, get)
	c.Assert(err, qt.IsNil)
	time.Sleep(2 * short)
	close(held.open)
	c.Assert(conn.SetDeadline(time.Now().Add(closeTimeout)), qt.IsNil)
	got, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Check(got.Body.Close(), qt.IsNil)
}

type heldReadListener struct {
	*net.TCPListener
	reads *gates
}

func (l *heldReadListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	gated := &gatedConn{TCPConn: conn}
	gated.beforeRead.held = l.reads.held
	return gated, nil
}
