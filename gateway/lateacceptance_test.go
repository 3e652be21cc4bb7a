package gateway_test

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// unansweredAddress returns the address of a listener that answers no further connection.
func unansweredAddress(c *qt.C) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = unix.Close(fd) })
	c.Assert(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	c.Assert(unix.Listen(fd, 0), qt.IsNil)
	bound, err := unix.Getsockname(fd)
	c.Assert(err, qt.IsNil)
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*unix.SockaddrInet4).Port}).String()
	for {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		c.Cleanup(func() { _ = conn.Close() })
	}
}

// TestRunnerThatIsNotReachedAcceptsNothing guards against streams that are cut because their
// runner was silent for a while and was given up for one that no connection reaches.
func TestRunnerThatIsNotReachedAcceptsNothing(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{Events: 3, Gap: 700 * time.Millisecond}))
	entries := []inventory.Runner{
		{ID: "i-a", Service: "desk", Address: r.runners[0].Address(), Zone: "zone-1", Slots: 6},
		{ID: "i-b", Service: "desk", Address: unansweredAddress(r.c), Zone: "zone-2", Slots: 6},
	}
	r.gateway.Balancer.SetRunners(entries, func(string) int { return 0 })
	got := r.send("/resumable/a", with(standin.HeaderDeadline, "3000"))
	r.c.Check(got.status, qt.Equals, 200)
	r.c.Check(got.body, qt.Equals, standin.Events(3))
	r.c.Check(got.broken, qt.IsFalse)
}

// TestStreamReturnsAfterALateRejection guards against streams that are cut because the runner
// that replaced a silent one rejected them only after it had been taken for the one that
// holds them.
func TestStreamReturnsAfterALateRejection(t *testing.T) {
	for _, scenario := range []struct {
		name      string
		rejection standin.Behaviour
		runners   int
	}{
		{"full", standin.Behaviour{Status: 503, NotRun: true, Gap: 500 * time.Millisecond}, 2},
		{"full, and a third runner may not be asked", standin.Behaviour{Status: 503, NotRun: true, Gap: 500 * time.Millisecond}, 3},
		{"another one by now", standin.Behaviour{Status: 421, NotRun: true, Gap: 500 * time.Millisecond}, 2},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			first := inTurn(standin.Behaviour{Events: 3, StallAfter: 1}, standin.Behaviour{Events: 3})
			scripts := []func(standin.ReceivedRequest) standin.Behaviour{first, always(scenario.rejection), always(scenario.rejection)}
			r := newRig(t, scripts[:scenario.runners]...)
			got := r.send("/resumable/a")
			r.c.Check(got.status, qt.Equals, 200)
			r.c.Check(got.body, qt.Equals, standin.Events(3))
			r.c.Check(got.broken, qt.IsFalse)
			r.c.Check(r.arrivals()[0], qt.Equals, 2)
		})
	}
}
