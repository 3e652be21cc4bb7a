package upstream

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// brokenConn is a connection that accepts some bytes and then fails.
type brokenConn struct {
	net.Conn
	accepted int
}

func (c *brokenConn) Write([]byte) (int, error) { return c.accepted, syscall.ECONNRESET }

// truncatedConn is a connection on which an answer ends within its body.
type truncatedConn struct {
	net.Conn
	answer string
}

func (c *truncatedConn) Write(content []byte) (int, error) { return len(content), nil }

func (c *truncatedConn) Read(buffer []byte) (int, error) {
	count := copy(buffer, c.answer)
	c.answer = c.answer[count:]
	if count == 0 {
		return 0, io.EOF
	}
	return count, nil
}

// TestFailureKeepsWhetherConnectionWasReused guards against a request that was written in
// part, or whose answer ends within its body, being reported as sent on a new connection.
func TestFailureKeepsWhetherConnectionWasReused(t *testing.T) {
	for _, scenario := range []struct {
		name string
		raw  net.Conn
	}{
		{"partly written", &brokenConn{accepted: 3}},
		{"truncated", &truncatedConn{answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			pool := New(telemetry.NewCommon(), DefaultOptions())
			conn := newConnection(scenario.raw, "runner")
			conn.idleSince = pool.common.Clock.Now()

			answer, err := pool.exchange(conn, Request{Address: "runner", Host: "runner", Method: "GET", Target: "/"})
			if err == nil {
				_, err = answer.ReadAll()
			}

			var invalid *InvalidAnswerError
			c.Assert(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(invalid.Reused, qt.IsTrue)
		})
	}
}
