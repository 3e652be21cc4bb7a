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

// cutRequest sends a part of a request, ends the connection, and waits until the gateway ends it
// too.
func (r *rig) cutRequest(content string, resets bool) {
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	r.c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, content)
	r.c.Assert(err, qt.IsNil)
	tcp := conn.(*net.TCPConn)
	if resets {
		r.c.Assert(tcp.SetLinger(0), qt.IsNil)
		r.c.Assert(tcp.Close(), qt.IsNil)
		return
	}
	r.c.Assert(tcp.CloseWrite(), qt.IsNil)
	r.c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	_, _ = io.ReadAll(conn)
}

// TestBrokenRequestBodyIsNotSentOn guards against a request whose body broke off, at any byte,
// and that a runner gets as a whole one.
func TestBrokenRequestBodyIsNotSentOn(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		head := "POST /once/a HTTP/" + version + "\r\nHost: " + testHost + "\r\n" + standin.HeaderCallID + ": one\r\n" + standin.HeaderAPIKey + ": " + testKey + "\r\n"
		bodies := map[string]string{"length": "Content-Length: 12\r\n\r\na question, "}
		if version == "1.1" {
			bodies["chunks"] = "Transfer-Encoding: chunked\r\n\r\n5\r\na que\r\n7\r\nstion, \r\n0\r\n\r\n"
			bodies["chunks with a trailer"] = "Transfer-Encoding: chunked\r\n\r\n5\r\na que\r\n0\r\nNote: a\r\n\r\n"
		}
		for name, content := range bodies {
			for _, resets := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reset %t", version, name, resets), func(t *testing.T) {
					r := newRig(t, always(okAnswer))
					for cut := range content {
						r.cutRequest(head+content[:cut], resets)
					}
					if resets {
						time.Sleep(100 * time.Millisecond)
					}
					r.c.Check(r.arrivals(), qt.DeepEquals, []int{0})
					answer := r.rawExchange(head + "Connection: close\r\n" + content)
					r.c.Check(strings.Contains(answer, "200 OK"), qt.IsTrue, qt.Commentf("%s", answer))
					r.c.Check(r.arrivals(), qt.DeepEquals, []int{1})
				})
			}
		}
	}
}
