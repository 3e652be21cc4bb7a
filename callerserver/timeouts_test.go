package callerserver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

const (
	short = 50 * time.Millisecond
	// long is longer than any test waits.
	long = time.Minute
	// closeTimeout bounds the wait for the server to close a connection.
	closeTimeout = 20 * time.Second
)

// rig is a server with timeouts, and one caller's connection to it.
type rig struct {
	c        *qt.C
	timeouts atomic.Pointer[callerserver.Timeouts]
	conn     net.Conn
	reader   *bufio.Reader
}

func newRig(t *testing.T, timeouts callerserver.Timeouts, handler http.HandlerFunc) *rig {
	r := &rig{c: qt.New(t)}
	r.timeouts.Store(&timeouts)
	server := callerserver.New(telemetry.NewCommon(), callerserver.Options{
		MaxHeaderTime: long, Timeouts: func() callerserver.Timeouts { return *r.timeouts.Load() },
	}, handler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.c.Assert(err, qt.IsNil)
	go func() { _ = server.Serve(listener) }()
	r.c.Cleanup(func() { _ = server.Close() })
	r.conn, err = net.Dial("tcp", listener.Addr().String())
	r.c.Assert(err, qt.IsNil)
	r.c.Cleanup(func() { _ = r.conn.Close() })
	r.reader = bufio.NewReader(r.conn)
	return r
}

func (r *rig) write(content string) {
	_, err := io.WriteString(r.conn, content)
	r.c.Assert(err, qt.IsNil)
}

func (r *rig) readAnswer() {
	answer, err := http.ReadResponse(r.reader, nil)
	r.c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, answer.Body)
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(answer.Body.Close(), qt.IsNil)
}

// waitForClose fails unless the server closes the connection.
func (r *rig) waitForClose() {
	r.c.Assert(r.conn.SetReadDeadline(time.Now().Add(closeTimeout)), qt.IsNil)
	_, err := r.reader.ReadByte()
	r.c.Assert(err, qt.Equals, io.EOF)
}

const get = "GET / HTTP/1.1\r\nHost: library\r\n\r\n"

func answer(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func TestUnusedConnectionIsClosed(t *testing.T) {
	r := newRig(t, callerserver.Timeouts{Idle: short, Header: long}, answer)
	r.waitForClose()
}

func TestConnectionThatBecomesIdleIsClosed(t *testing.T) {
	r := newRig(t, callerserver.Timeouts{Idle: long, Header: long}, answer)
	r.timeouts.Store(&callerserver.Timeouts{Idle: short, Header: long})
	r.write(get)
	r.readAnswer()
	r.waitForClose()
}

func TestSlowHeaderClosesTheConnection(t *testing.T) {
	r := newRig(t, callerserver.Timeouts{Idle: long, Header: short}, answer)
	r.write("GET / HTTP/1.1\r\nHost:")
	r.waitForClose()
}

func TestSlowHandlerIsNotInterrupted(t *testing.T) {
	r := newRig(t, callerserver.Timeouts{Idle: short, Header: short}, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(4 * short)
		w.WriteHeader(http.StatusOK)
	})
	r.write(get)
	r.readAnswer()
}

// TestSlowHandlerOfLaterRequestIsNotInterrupted covers a kept connection, on which the
// server reads the whole of a later request while it waits for one.
func TestSlowHandlerOfLaterRequestIsNotInterrupted(t *testing.T) {
	r := newRig(t, callerserver.Timeouts{Idle: long, Header: short}, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(4 * short)
		w.WriteHeader(http.StatusOK)
	})
	for range 4 {
		r.write(get)
		r.readAnswer()
	}
}

func TestSlowBodyIsNotInterrupted(t *testing.T) {
	r := newRig(t, callerserver.Timeouts{Idle: long, Header: short}, func(w http.ResponseWriter, request *http.Request) {
		_, err := io.Copy(io.Discard, request.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	r.write("POST / HTTP/1.1\r\nHost: library\r\nContent-Length: 2\r\n\r\na")
	time.Sleep(4 * short)
	r.write("b")
	r.readAnswer()
}

func TestZeroTimeoutsKeepConnections(t *testing.T) {
	r := newRig(t, callerserver.Timeouts{}, answer)
	time.Sleep(2 * short)
	r.write(get)
	r.readAnswer()
}
