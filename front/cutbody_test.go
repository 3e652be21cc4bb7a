package front_test

import (
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/front"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// TestBrokenBodyIsNotDispatched guards against a request whose body broke off, at any byte, and
// that is dispatched as a whole one.
func TestBrokenBodyIsNotDispatched(t *testing.T) {
	const head = "POST /services/placements/confirm HTTP/1.1\r\nHost: library\r\nAuthorization: Bearer good\r\nConnection: close\r\n"
	for name, content := range map[string]string{
		"length": "Content-Length: 12\r\n\r\na placement.",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\na pla\r\n7\r\ncement.\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var dispatched atomic.Int64
			dispatcher := &fakeDispatcher{script: func(w dispatch.Writer) dispatch.Result {
				dispatched.Add(1)
				return answered(w)
			}}
			options := front.Options{MaxBodyBytes: 1024, MaxHeaderBytes: 1024, MaxInFlight: 2, DefaultDeadline: time.Minute}
			handler := front.New(telemetry.NewCommon(), options, fixedConfiguration{state(), true}, fakeAdmitter{}, dispatcher).Handler()
			server := httptest.NewServer(handler)
			c.Cleanup(server.Close)
			for cut := range content {
				exchangeRaw(c, server, head+content[:cut])
				c.Assert(dispatched.Load(), qt.Equals, int64(0), qt.Commentf("%q", content[:cut]))
			}
			answer := exchangeRaw(c, server, head+content)
			c.Check(strings.HasPrefix(answer, "HTTP/1.1 200"), qt.IsTrue, qt.Commentf("%s", answer))
			c.Check(string(dispatcher.requests[0].Body), qt.Equals, "a placement.")
		})
	}
}

// exchangeRaw sends bytes, closes its side, and returns what the server sends.
func exchangeRaw(c *qt.C, server *httptest.Server, content string) string {
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, content)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	answer, _ := io.ReadAll(conn)
	return string(answer)
}
