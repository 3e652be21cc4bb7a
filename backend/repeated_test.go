package backend_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/backend"
)

// TestRepeatedAnswerIsNotUsed guards against a refusal, or any other answer to an earlier
// request, that a backend server writes once more on a kept connection and that is taken for
// the answer to the next request: before the status is looked at, the ID is. The connection,
// on which that answer is still to come, is not used again.
func TestRepeatedAnswerIsNotUsed(t *testing.T) {
	const id = "X-Request-Id: r0\r\n"
	for _, scenario := range []struct {
		name     string
		repeated string
	}{
		{"refusal", "HTTP/1.1 503 Busy\r\n" + id + "Content-Length: 0\r\n\r\n"},
		{"refusal for its rate", "HTTP/1.1 429 Busy\r\n" + id + "Retry-After: 1\r\nContent-Length: 4\r\n\r\nbusy"},
		{"refusal of another instance", "HTTP/1.1 421 Misdirected\r\n" + id + "Content-Length: 0\r\n\r\n"},
		{"refusal without an ID", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"},
		{"refusal with an empty ID", "HTTP/1.1 503 Busy\r\nX-Request-Id:\r\nContent-Length: 0\r\n\r\n"},
		{"head without a body", "HTTP/1.1 204 No Content\r\n" + id + "\r\n"},
		{"head of a cached answer", "HTTP/1.1 304 Not Modified\r\n" + id + "\r\n"},
		{"whole answer", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nno"},
		{"stream", "HTTP/1.1 200 OK\r\n" + id + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	} {
		for _, isStream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/stream %t", scenario.name, isStream), func(t *testing.T) {
				c := qt.New(t)
				s := serve(c, func(w io.Writer, r *http.Request, number int64) bool {
					if number == 2 {
						_, _ = io.WriteString(w, scenario.repeated)
					}
					return respondOK(w, r, number)
				})
				client, _ := newClient(c)
				readOwnAnswer(c, client, s.call(true))
				second := s.call(true)
				second.ID, second.Stream = "r2", isStream

				_, err := client.Send(context.Background(), second)

				var fault *backend.FaultError
				c.Assert(errors.As(err, &fault), qt.IsTrue, qt.Commentf("%v", err))
				c.Check(fault.Kind, qt.Equals, backend.Foreign)
				c.Check(fault.MaybeWritten, qt.IsTrue)
				c.Check(s.connections.Load(), qt.Equals, int64(1))
				third := s.call(true)
				third.ID = "r3"
				readOwnAnswer(c, client, third)
				c.Check(s.connections.Load(), qt.Equals, int64(2))
			})
		}
	}
}

// readOwnAnswer sends a call and reads its answer to the end.
func readOwnAnswer(c *qt.C, client *backend.Client, call backend.Call) {
	answer, err := client.Send(context.Background(), call)
	c.Assert(err, qt.IsNil)
	c.Check(answer.Header().Get(backend.RequestIDHeader), qt.Equals, call.ID)
	body, err := answer.ReadAll()
	c.Assert(err, qt.IsNil)
	c.Check(string(body), qt.Equals, "ok")
}

// TestCallThatMayNotRunTwiceSeesNoEarlierAnswer guards against such a call on a connection
// on which a late answer to an earlier one may still come.
func TestCallThatMayNotRunTwiceSeesNoEarlierAnswer(t *testing.T) {
	c := qt.New(t)
	s := serve(c, respondOK)
	client, _ := newClient(c)
	for number := range 3 {
		call := s.call(false)
		call.ID = fmt.Sprintf("r%d", number)
		readOwnAnswer(c, client, call)
	}
	c.Check(s.connections.Load(), qt.Equals, int64(3))
}
