package relay_test

import (
	"bufio"
	"errors"
	"net"
	"runtime"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/cranberrywalk/cranberrywalk/standin/relay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newEchoRelay returns a relay to a server that echoes lines, and the lines that
// the server has received.
func newEchoRelay(c *qt.C) (*relay.Relay, <-chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	received := make(chan string, 100)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go echo(connection, received)
		}
	}()
	r, err := relay.New(listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		c.Check(listener.Close(), qt.IsNil)
		r.Close()
	})
	return r, received
}

func echo(connection net.Conn, received chan<- string) {
	defer connection.Close()
	lines := bufio.NewScanner(connection)
	for lines.Scan() {
		received <- lines.Text()
		_, _ = connection.Write([]byte(lines.Text() + "\n"))
	}
}

// caller is a connection through the relay.
type caller struct {
	*qt.C
	connection net.Conn
	lines      *bufio.Scanner
}

func dial(c *qt.C, r *relay.Relay) caller {
	connection, err := net.Dial("tcp", r.Address())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = connection.Close() })
	return caller{C: c, connection: connection, lines: bufio.NewScanner(connection)}
}

// newConnectionWorks returns whether a line is echoed over a new connection. In
// ModeCut the reset may arrive before net.Dial has returned, so ECONNRESET counts
// as a connection that does not work. Any other error of net.Dial fails the test.
func newConnectionWorks(c *qt.C, r *relay.Relay) bool {
	connection, err := net.Dial("tcp", r.Address())
	if errors.Is(err, syscall.ECONNRESET) {
		return false
	}
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = connection.Close() })
	return caller{C: c, connection: connection, lines: bufio.NewScanner(connection)}.works()
}

func (c caller) send(line string) {
	_, err := c.connection.Write([]byte(line + "\n"))
	c.Assert(err, qt.IsNil)
}

// works returns whether a line is echoed before the connection ends.
func (c caller) works() bool {
	_, err := c.connection.Write([]byte("ping\n"))
	return err == nil && c.lines.Scan() && c.lines.Text() == "ping"
}

// awaitDropped waits until the relay has dropped as many bytes as text has.
func awaitDropped(r *relay.Relay, text string) {
	for r.Dropped() < int64(len(text)) {
		runtime.Gosched()
	}
}

func TestSilencedConnectionStaysSilentWhileNewOnesWork(t *testing.T) {
	c := qt.New(t)
	r, received := newEchoRelay(c)
	old := dial(c, r)
	c.Assert(old.works(), qt.IsTrue)
	<-received

	r.SilenceOpenConnections()
	old.send("lost")
	awaitDropped(r, "lost\n")

	c.Assert(dial(c, r).works(), qt.IsTrue)
	c.Assert(<-received, qt.Equals, "ping")
	r.Close()
	c.Assert(old.lines.Scan(), qt.IsFalse)
	c.Assert(received, qt.HasLen, 0)
}

func TestCutResetsConnectionsUntilModePass(t *testing.T) {
	c := qt.New(t)
	r, _ := newEchoRelay(c)
	old := dial(c, r)
	c.Assert(old.works(), qt.IsTrue)

	r.SetMode(relay.ModeCut)

	c.Assert(old.works(), qt.IsFalse)
	c.Assert(newConnectionWorks(c, r), qt.IsFalse)
	r.SetMode(relay.ModePass)
	c.Assert(newConnectionWorks(c, r), qt.IsTrue)
}

func TestDroppedDirections(t *testing.T) {
	for _, scenario := range []struct {
		name    string
		mode    relay.Mode
		reaches bool
	}{
		{"responses are dropped", relay.ModeDropResponses, true},
		{"requests are dropped", relay.ModeDropRequests, false},
		{"both are dropped", relay.ModeDropAll, false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			r, received := newEchoRelay(c)
			old := dial(c, r)
			c.Assert(old.works(), qt.IsTrue)
			<-received
			r.SetMode(scenario.mode)

			old.send("one way")
			awaitDropped(r, "one way\n")

			if scenario.reaches {
				c.Assert(<-received, qt.Equals, "one way")
			}
			r.Close()
			c.Assert(old.lines.Scan(), qt.IsFalse)
			c.Assert(received, qt.HasLen, 0)
		})
	}
}
