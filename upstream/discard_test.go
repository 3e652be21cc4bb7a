package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// discard sends a request and discards its answer.
func (r *rig) discard() {
	request := upstream.Request{Address: r.address, Host: "runner", Method: http.MethodGet, Target: "/"}
	answer, err := r.pool.Send(context.Background(), request)
	r.c.Assert(err, qt.IsNil)
	answer.Discard()
}

// awaitIdle waits until a connection is idle, and closes it.
func (r *rig) awaitIdle() {
	for began := time.Now(); r.pool.CloseIdleTo(r.address) == 0; time.Sleep(time.Millisecond) {
		r.c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue, qt.Commentf("no connection is idle"))
	}
}

// TestDiscardKeepsConnectionOfShortBody guards against a new connection for each rejection.
func TestDiscardKeepsConnectionOfShortBody(t *testing.T) {
	for name, head := range map[string]string{
		"with a length": "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\n",
		"in chunks":     "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			body := "busy"
			if strings.Contains(head, "chunked") {
				body += "\r\n0\r\n\r\n"
			}
			sent := make(chan struct{})
			r := newScriptedRig(t, upstream.DefaultOptions(), func(conn net.Conn) {
				_, _ = io.WriteString(conn, head)
				<-sent
				_, _ = io.WriteString(conn, body)
			})
			r.discard()
			close(sent)
			r.awaitIdle()
		})
	}
}

// TestDiscardEndsWithoutTheBody guards against callers and connections that are held by a
// body that stalls or has no end.
func TestDiscardEndsWithoutTheBody(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		// repeated is written until the connection is closed.
		repeated string
	}{
		"stalled":               {"HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\nbusy", ""},
		"long":                  {"HTTP/1.1 503 Full\r\nContent-Length: 9000000\r\n\r\nbusy", ""},
		"endless":               {"HTTP/1.1 503 Full\r\n\r\n", "x"},
		"endless chunks":        {"HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"endless bytes at once": {"HTTP/1.1 503 Full\r\nContent-Length: 1\r\n\r\n", strings.Repeat("x", 1<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			r := newScriptedRig(t, upstream.DefaultOptions(), func(conn net.Conn) {
				defer close(closed)
				_, err := io.WriteString(conn, test.answer)
				for err == nil && test.repeated != "" {
					_, err = io.WriteString(conn, test.repeated)
				}
				_, _ = io.Copy(io.Discard, conn)
			})
			r.discard()
			for ended := false; !ended; {
				r.clock.Advance(250 * time.Millisecond)
				select {
				case <-closed:
					ended = true
				case <-time.After(5 * time.Millisecond):
					// The body may not be read in the background yet.
				}
			}
			r.c.Check(r.pool.CloseIdleTo(r.address), qt.Equals, 0)
		})
	}
}
