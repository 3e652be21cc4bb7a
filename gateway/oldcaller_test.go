package gateway_test

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/platform/standin"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// TestBrokenStreamIsNoWholeStreamForOldCallers guards against a stream that its runner breaks
// off, and of which a caller of HTTP/1.0 takes the part for the whole.
func TestBrokenStreamIsNoWholeStreamForOldCallers(t *testing.T) {
	for _, scenario := range []struct {
		name      string
		behaviour standin.Behaviour
		err       error
	}{
		{"whole", standin.Behaviour{Events: 6}, nil},
		{"broken off", standin.Behaviour{Events: 6, ResetAfter: 3}, syscall.ECONNRESET},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t, always(scenario.behaviour))
			server := callerserver.New(telemetry.NewCommon(), callerserver.Options{}, r.gateway)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			r.c.Assert(err, qt.IsNil)
			go func() { _ = server.Serve(listener) }()
			r.c.Cleanup(func() { _ = server.Close() })
			conn, err := net.Dial("tcp", listener.Addr().String())
			r.c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, "GET /single/a HTTP/1.0\r\nHost: "+testHost+"\r\n"+standin.HeaderCallID+": one\r\n"+
				standin.HeaderAPIKey+": "+testKey+"\r\n\r\n")
			r.c.Assert(err, qt.IsNil)
			r.c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			content, err := io.ReadAll(conn)
			r.c.Check(err, qt.ErrorIs, scenario.err)
			isWhole := strings.HasSuffix(string(content), standin.Events(6))
			r.c.Check(isWhole, qt.Equals, scenario.err == nil, qt.Commentf("%s", content))
		})
	}
}
