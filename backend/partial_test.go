package backend_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/backend"
)

// unreading is a backend server that accepts connections and reads nothing from them by
// itself.
type unreading struct {
	address string
	// connections gets each connection that was accepted.
	connections chan net.Conn
}

func newUnreading(c *qt.C) *unreading {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	u := &unreading{address: listener.Addr().String(), connections: make(chan net.Conn, 1)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.connections <- conn
		}
	}()
	return u
}

// TestCallInBuffersIsMaybeWritten guards against a promise "not run" for a call of which a part,
// or all, still waits in the buffers of the kernel: the backend server may read it later.
func TestCallInBuffersIsMaybeWritten(t *testing.T) {
	for _, size := range []int{0, 1 << 10, 9 << 10, 6 << 20} {
		for _, ending := range []struct {
			name string
			// end ends the call; conn is its connection at the backend server.
			end func(cancel context.CancelFunc, conn net.Conn)
		}{
			{"caller leaves", func(cancel context.CancelFunc, _ net.Conn) { cancel() }},
			{"server closes", func(_ context.CancelFunc, conn net.Conn) { _ = conn.Close() }},
			{"server resets", func(_ context.CancelFunc, conn net.Conn) {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}},
		} {
			t.Run(fmt.Sprintf("%s/%d bytes", ending.name, size), func(t *testing.T) {
				c := qt.New(t)
				u := newUnreading(c)
				client, _ := newClient(c)
				call := (&server{address: u.address}).call(false)
				call.Body = make([]byte, size)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go func() {
					conn := <-u.connections
					// From its first byte on, a part of the call has been written.
					_, _ = conn.Read(make([]byte, 1))
					ending.end(cancel, conn)
				}()

				_, err := client.Send(ctx, call)

				var fault *backend.FaultError
				c.Assert(errors.As(err, &fault), qt.IsTrue, qt.Commentf("%v", err))
				c.Check(fault.MaybeWritten, qt.IsTrue, qt.Commentf("%v", err))
			})
		}
	}
}

// TestCallWithoutConnectionIsNotWritten guards against an end that counts as unknown although
// no connection was made.
func TestCallWithoutConnectionIsNotWritten(t *testing.T) {
	c := qt.New(t)
	u := newUnreading(c)
	client, _ := newClient(c)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()

	_, err := client.Send(ctx, (&server{address: u.address}).call(false))

	var fault *backend.FaultError
	c.Assert(errors.As(err, &fault), qt.IsTrue)
	c.Check(fault.MaybeWritten, qt.IsFalse)
}
