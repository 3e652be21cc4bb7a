package gateway_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// TestSlowCallersFailNoOtherAnswer guards against answers that fail because a few callers
// do not read theirs.
func TestSlowCallersFailNoOtherAnswer(t *testing.T) {
	large, small := strings.Repeat("x", 8<<20-1), strings.Repeat("y", 64<<10)
	r := newRig(t, func(arrival standin.ReceivedRequest) standin.Behaviour {
		if strings.HasSuffix(arrival.Target, "/large2") {
			return standin.Behaviour{Body: large[:7<<20-32<<10]}
		}
		if strings.Contains(arrival.Target, "/large") {
			return standin.Behaviour{Body: large}
		}
		return standin.Behaviour{Body: small}
	})
	for i := range 3 {
		conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
		r.c.Assert(err, qt.IsNil)
		defer conn.Close()
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		_, err = io.WriteString(conn, fmt.Sprintf("POST /once/large%d HTTP/1.1\r\nHost: %s\r\n%s: slow-%d\r\n%s: %s\r\n%s: 20000\r\nContent-Length: 0\r\n\r\n",
			i, testHost, standin.HeaderCallID, i, standin.HeaderAPIKey, testKey, standin.HeaderDeadline))
		r.c.Assert(err, qt.IsNil)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	got := r.send("/once/small")
	r.c.Check(got.status, qt.Equals, 200)
	time.Sleep(3 * time.Second)
	got = r.send("/once/small")
	r.c.Check(got.status, qt.Equals, 200, qt.Commentf("after the deadline of the slow callers"))
}
