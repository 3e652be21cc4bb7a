package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// failingUploadConn is a connection whose failure the write gets, so that the read finds an end.
type failingUploadConn struct {
	sentConn
	failure error
}

func (c *failingUploadConn) Write(content []byte) (int, error) {
	return len(content) / 2, &net.OpError{Op: "write", Err: c.failure}
}

// Guards against a failure of the connection that is lost if the write of the request gets it: the
// part of an answer passes for a whole one, or the failure of the network for a crash of the runner.
func TestFailureThatTheWriteGetsIsThatOfTheAnswer(t *testing.T) {
	for _, scenario := range []struct {
		failure  error
		isClosed bool
	}{
		{syscall.ECONNRESET, true},
		{syscall.EPIPE, true},
		{syscall.ETIMEDOUT, false},
		{syscall.EHOSTUNREACH, false},
	} {
		t.Run(scenario.failure.Error(), func(t *testing.T) {
			c := qt.New(t)
			raw := &failingUploadConn{sentConn{content: "HTTP/1.1 200 OK\r\n\r\na part"}, scenario.failure}
			request := Request{Address: "runner", Host: "runner", Method: http.MethodPost, Target: "/", Body: make([]byte, 2*maxInlineWrite)}
			pool := New(telemetry.NewCommon(), DefaultOptions())
			answer, err := pool.exchange(newConnection(raw, "runner"), request)
			c.Assert(err, qt.IsNil)
			defer answer.Release()
			body, err := answer.ReadAll()
			c.Check(body, qt.IsNil)
			var invalid *InvalidAnswerError
			c.Assert(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(errors.Is(err, scenario.failure), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(IsClosedByPeer(invalid.Cause), qt.Equals, scenario.isClosed)
			// The result of the write can be read again.
			_, err = answer.Read(make([]byte, 1))
			c.Check(err, qt.Not(qt.Equals), io.EOF)
			c.Check(errors.Is(err, scenario.failure), qt.IsTrue)
		})
	}
}
