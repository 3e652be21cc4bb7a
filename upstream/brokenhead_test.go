package upstream_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// TestHeadThatBreaksOffOnASocketIsInvalid guards against ends of real connections that differ
// from those that the other tests assume.
func TestHeadThatBreaksOffOnASocketIsInvalid(t *testing.T) {
	for _, isReset := range []bool{false, true} {
		for length := range okAnswer {
			r := newScriptedRig(t, upstream.DefaultOptions(), func(conn net.Conn) {
				_, _ = io.WriteString(conn, okAnswer[:length])
				if isReset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			})
			var invalid *upstream.InvalidAnswerError
			r.c.Check(errors.As(r.send(nil), &invalid), qt.IsTrue, qt.Commentf("%q", okAnswer[:length]))
		}
	}
}

// TestSilenceWithinHeadEndsTheExchange guards against a head that breaks off without the end of
// its connection.
func TestSilenceWithinHeadEndsTheExchange(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"
	for _, length := range []int{1, len("HTTP/1.1 200 OK\r\n"), len(head) - len("2\r\n\r\n"), len(head) - 1} {
		r := newStallingRig(t, head[:length])
		result := make(chan error)
		go func() { result <- r.send(nil) }()
		r.checkHeaderTimeout(result)
	}
}

// checkHeaderTimeout advances the clock until an exchange ends, and checks its error.
func (r *rig) checkHeaderTimeout(result chan error) {
	for {
		r.clock.Advance(100 * time.Millisecond)
		select {
		case err := <-result:
			var late *upstream.HeaderTimeoutError
			r.c.Check(errors.As(err, &late), qt.IsTrue, qt.Commentf("%v", err))
			var invalid *upstream.InvalidAnswerError
			r.c.Check(errors.As(err, &invalid), qt.IsTrue)
			return
		case <-time.After(time.Millisecond):
			// The first byte has not arrived, or the time of the header is not over.
		}
	}
}
