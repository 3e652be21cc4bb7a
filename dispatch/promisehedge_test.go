package dispatch_test

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// newUnreachable returns an address to which no connection can be made, and none is refused:
// the backlog of its listener is full.
func newUnreachable(c *qt.C) string {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = syscall.Close(socket) })
	c.Assert(syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	c.Assert(syscall.Listen(socket, 0), qt.IsNil)
	bound, err := syscall.Getsockname(socket)
	c.Assert(err, qt.IsNil)
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*syscall.SockaddrInet4).Port}).String()
	for {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		c.Cleanup(func() { _ = conn.Close() })
	}
}

// TestHedgeBesideUnwrittenAttemptIsMaybeWritten guards against a promise "not run" that speaks for
// an attempt of which nothing was written, while another one beside it was.
func TestHedgeBesideUnwrittenAttemptIsMaybeWritten(t *testing.T) {
	for _, fault := range []string{"closed", "crossed busy"} {
		t.Run(fault, func(t *testing.T) {
			c := qt.New(t)
			b := newTestbed(t, behaviour{}, behaviour{fault: fault})
			b.chooser.targets[0].Address = newUnreachable(c)
			b.Chooser = &endingChooser{fakeChooser: b.chooser, end: &dispatch.NoBackendError{}}
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			go func() {
				if b.clock.BlockUntilContext(ctx, timersOfSilentAttempt) == nil {
					b.clock.Advance(silence)
				}
			}()
			r := chat(b.clock.Now()).WithDeadline(b.clock.Now().Add(time.Hour))
			w := &fakeWriter{}

			result := b.Do(ctx, r, w)

			checkInvariants(c, b, r, w)
			c.Assert(b.requests(), qt.Equals, 1)
			c.Check(result.Outcome, qt.Equals, request.Unknown)
			c.Check(result.Status, qt.Equals, http.StatusBadGateway)
		})
	}
}
