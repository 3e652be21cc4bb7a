package gateway_test

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// readEnd reads a connection to its end, and returns the number of bytes. It fails if the connection
// stays open.
func (r *rig) readEnd(conn net.Conn) int64 {
	r.c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	count, err := io.Copy(io.Discard, conn)
	r.c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
	return count
}

// TestCallersThatReadNothingAreCut guards against answers and streams that are held without end,
// since nothing bounds the writes to a caller.
func TestCallersThatReadNothingAreCut(t *testing.T) {
	const bytes = 8<<20 - 1
	r := newRig(t, func(request standin.ReceivedRequest) standin.Behaviour {
		if strings.HasPrefix(request.Target, "/stream/") {
			return standin.Behaviour{Events: 400, Label: strings.Repeat("x", 32<<10)}
		}
		return standin.Behaviour{Body: strings.Repeat("x", bytes)}
	})
	r.setBudget(64 << 20)
	var conns []net.Conn
	for _, path := range []string{"/once/a", "/stream/a"} {
		conn := r.dial()
		_, err := io.WriteString(conn, head(path, "Content-Length: 0\r\n"))
		r.c.Assert(err, qt.IsNil)
		conns = append(conns, conn)
	}
	for began := time.Now(); len(r.log.linesOf("SlowReaderCut")) < len(conns); time.Sleep(10 * time.Millisecond) {
		r.c.Assert(time.Since(began) < 15*time.Second, qt.IsTrue)
	}
	r.c.Check(r.readEnd(conns[0]) < bytes, qt.IsTrue)
	r.readEnd(conns[1])
}
