package upstream

import (
	"errors"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// countingConn is a connection that counts the bytes that are written to it.
type countingConn struct {
	sentConn
	written int
}

func (c *countingConn) Write(content []byte) (int, error) {
	c.written += len(content)
	return len(content), nil
}

// Guards against requests that reach a runner although they were not needed any more when their
// connection was open.
func TestRequestThatMayNotBeWrittenIsNot(t *testing.T) {
	for name, length := range map[string]int{"short": 0, "long": 2 * maxInlineWrite} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			raw := &countingConn{sentConn: sentConn{content: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}}
			request := Request{Address: "runner", Host: "runner", Method: http.MethodPost, Target: "/", Body: make([]byte, length)}
			request.MayWrite = func() bool { return false }
			pool := New(telemetry.NewCommon(), DefaultOptions())
			_, err := pool.exchange(newConnection(raw, "runner"), request)
			var unwritten *UnwrittenError
			c.Assert(errors.As(err, &unwritten), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(raw.written, qt.Equals, 0)
		})
	}
}
