package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// lateRequest is a request whose header arrives before a planned stop of its daemon, and
// whose body is complete late in the grace period.
type lateRequest struct {
	conn net.Conn
	rest string
}

// beginRequest connects to a daemon and sends a request without the end of its body.
func (s *testSystem) beginRequest(d *daemon, path string, deadline time.Duration) lateRequest {
	conn, err := net.Dial("tcp", d.settings.CallersAddress)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { _ = conn.Close() })
	const begin, rest = "a ques", "tion"
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: key-1\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, testHost, standin.HeaderCallID, nextAttempt(), standin.HeaderAPIKey, standin.HeaderDeadline, deadline.Milliseconds(),
		len(begin)+len(rest), begin)
	s.c.Assert(err, qt.IsNil)
	return lateRequest{conn: conn, rest: rest}
}

// answerHead is what the head of an answer says.
type answerHead struct {
	status     int
	retryAfter string
	// closes is true if the connection closes after the answer.
	closes bool
}

// finish sends the end of the body and returns the head of the answer.
func (s *testSystem) finish(request lateRequest) answerHead {
	_, err := request.conn.Write([]byte(request.rest))
	s.c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(request.conn), nil)
	s.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	return answerHead{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), closes: response.Close}
}

// TestStopTakesNoRequestThatMayOutlastIt guards against requests that come late in the grace
// period of a planned stop, are passed on, and are cut at its end.
func TestStopTakesNoRequestThatMayOutlastIt(t *testing.T) {
	t.Parallel()
	const late = 1200 * time.Millisecond
	for name, scenario := range map[string]struct {
		path     string
		deadline time.Duration
		status   int
	}{
		"a request that runs once, in time": {deskRoute + "a", 1500 * time.Millisecond, http.StatusOK},
		"a request that runs once":          {deskRoute + "a", 4 * time.Second, http.StatusServiceUnavailable},
		"a stream":                          {talkRoute + "a", 4 * time.Second, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestSystem(t, 1)
			runner := s.addRunner(func(received standin.ReceivedRequest) standin.Behaviour {
				if scenario.status == http.StatusOK {
					return answerScript(received)
				}
				return standin.Behaviour{Events: 100, Gap: 200 * time.Millisecond}
			})
			s.awaitReady()
			stopping := s.daemons[0]
			request := s.beginRequest(stopping, scenario.path, scenario.deadline)
			time.Sleep(100 * time.Millisecond)
			stopping.cancel()
			time.Sleep(late)

			got := s.finish(request)

			s.c.Check(got.status, qt.Equals, scenario.status)
			s.c.Check(got.closes, qt.IsTrue)
			if scenario.status == http.StatusOK {
				return
			}
			s.c.Check(got.retryAfter, qt.Equals, "0.050")
			s.c.Check(runner.ReceivedRequests(), qt.HasLen, 0)
		})
	}
}
