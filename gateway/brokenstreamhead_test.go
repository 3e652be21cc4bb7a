package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// streamAnswers are streams of three events.
func streamAnswers() []rawAnswer {
	const ok = "HTTP/1.1 200 OK\r\n" + rawIdentity + "Content-Type: text/event-stream\r\n"
	events := standin.Events(3)
	return []rawAnswer{
		{name: "chunked", head: ok + "Transfer-Encoding: chunked\r\n\r\n", content: chunked(standin.Event(1), standin.Event(2), standin.Event(3))},
		{name: "length", head: ok + "Content-Length: " + strconv.Itoa(len(events)) + "\r\n\r\n", content: events},
		{name: "unframed", head: ok + "Connection: close\r\n\r\n", content: events, isUnframed: true},
	}
}

// TestStreamThatBreaksOffIsNeverWhole guards against a stream that breaks off at any byte and
// ends as a complete one, or as a promise that the request has not run.
func TestStreamThatBreaksOffIsNeverWhole(t *testing.T) {
	whole := standin.Events(3)
	for _, a := range streamAnswers() {
		for name, end := range rawEnds {
			t.Run(a.name+" "+name, func(t *testing.T) {
				c := qt.New(t)
				cuts := a.cuts()
				for i, got := range sendRaws(t, "/stream/", rawBehaviours(cuts, end), standin.Behaviour{Events: 3}) {
					if got.status != http.StatusBadGateway {
						c.Check(len(cuts[i]) > len(a.head), qt.IsTrue, qt.Commentf("%q: %q", cuts[i], got.body))
						c.Check(got.broken, qt.IsTrue, qt.Commentf("%q: %q", cuts[i], got.body))
						c.Check(strings.HasPrefix(whole, got.body), qt.IsTrue, qt.Commentf("%q: %q", cuts[i], got.body))
						continue
					}
					checkBadGateway(c, got, cuts[i])
				}
				for i, got := range sendRaws(t, "/resumable/", rawBehaviours(cuts, end), standin.Behaviour{Events: 3}) {
					c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%q", cuts[i]))
					c.Check(got.broken, qt.IsFalse)
					c.Check(got.body, qt.Equals, whole, qt.Commentf("%q", cuts[i]))
					c.Check(got.header.Values(standin.HeaderSignature), qt.HasLen, 1)
				}
			})
		}
	}
}

// resumedHeads are heads with which a second runner may break off a stream that has begun, whole
// or in part.
func resumedHeads() []rawAnswer {
	return []rawAnswer{
		{name: "stream", head: "HTTP/1.1 200 OK\r\n" + rawIdentity + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{name: "unframed stream", head: "HTTP/1.1 200 OK\r\n" + rawIdentity + "Connection: close\r\n\r\n"},
		{name: "no content", head: "HTTP/1.1 204 No Content\r\n" + rawIdentity + "\r\n"},
		{name: "error", head: "HTTP/1.1 500 Internal Server Error\r\n" + rawIdentity + "Content-Length: 5\r\n\r\n", content: "error"},
		{name: "rejection", head: "HTTP/1.1 503 Service Unavailable\r\n" + standin.HeaderCallID + ": attempt-1\r\n" + standin.HeaderNotRun + ": 1\r\nContent-Length: 4\r\n\r\n", content: "full"},
	}
}

// begunStream is a stream that breaks off after its first event, by bytes that are no chunk. The
// end of its connection would count as a crash: a request is sent to no third runner after two.
func begunStream() standin.Behaviour {
	chunks := strings.TrimSuffix(chunked(standin.Event(1)), "0\r\n\r\n")
	return standin.Behaviour{Verbatim: standin.Verbatim{Content: streamAnswers()[0].head + chunks + "no chunk\r\n", End: standin.ThenClose}}
}

// TestSecondRunnerThatBreaksOffInItsHead guards against a stream that has begun and ends as
// complete, or with bytes of another answer, since the runner at which it goes on breaks off in
// its head. It goes on at a third one where it may.
func TestSecondRunnerThatBreaksOffInItsHead(t *testing.T) {
	for _, a := range resumedHeads() {
		for name, end := range rawEnds {
			t.Run(a.name+" "+name, func(t *testing.T) {
				c := qt.New(t)
				var scripts [][]standin.Behaviour
				contents := append(a.cuts(), a.head+a.content)
				for _, raw := range rawBehaviours(contents, end) {
					scripts = append(scripts, []standin.Behaviour{begunStream(), raw, {Events: 3}})
				}
				for i, got := range sendScripts(t, "/resumable/", scripts, 2) {
					c.Check(got.status, qt.Equals, http.StatusOK)
					c.Check(got.broken, qt.IsTrue, qt.Commentf("%q: %q", contents[i], got.body))
					c.Check(got.body, qt.Equals, standin.Event(1), qt.Commentf("%q", contents[i]))
				}
				for i, got := range sendScripts(t, "/resumable/", scripts, 3) {
					c.Check(got.broken, qt.IsFalse, qt.Commentf("%q", contents[i]))
					c.Check(got.body, qt.Equals, standin.Events(3), qt.Commentf("%q", contents[i]))
					c.Check(got.header.Values(standin.HeaderSignature), qt.DeepEquals, []string{rawSignature})
				}
			})
		}
	}
}
