package gateway_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// secondAnswers are answers that a faulty runner begins within the head of another one.
func secondAnswers() []rawAnswer {
	return []rawAnswer{
		plainAnswers()[0],
		{name: "unframed error", head: "HTTP/1.1 500 Internal Server Error\r\n" + rawIdentity + "\r\n", content: "error"},
		{name: "late rejection", head: "HTTP/1.1 503 Service Unavailable\r\n" + standin.HeaderCallID + ": attempt-0\r\n" + standin.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"},
	}
}

// withinHead returns the contents of connections on which another answer begins within the head
// of an answer.
func (a rawAnswer) withinHead(second rawAnswer) []string {
	var contents []string
	for _, length := range (rawAnswer{head: a.head}).cutPoints()[1:] {
		contents = append(contents, a.head[:length]+second.head+second.content)
	}
	return contents
}

// TestAnswerWithinHeadOfAnotherReachesNoCaller guards against a head that breaks off and is
// followed by another answer: the caller would get the status and the signature of the one with
// the body of the other, or its "not run".
func TestAnswerWithinHeadOfAnotherReachesNoCaller(t *testing.T) {
	firsts := []rawAnswer{plainAnswers()[0], {name: "rejection", head: plainAnswers()[6].head}}
	for _, first := range firsts {
		for _, second := range secondAnswers() {
			t.Run(first.name+" "+second.name, func(t *testing.T) {
				contents := first.withinHead(second)
				for i, got := range sendRaws(t, "/once/", rawBehaviours(contents, standin.ThenClose), okAnswer) {
					checkBadGateway(qt.New(t), got, contents[i])
				}
				for i, got := range sendRaws(t, "/again/", rawBehaviours(contents, standin.ThenClose), okAnswer) {
					checkSound(qt.New(t), got, contents[i])
				}
			})
		}
	}
}

// TestAnswerWithinHeadOfStreamReachesNoCaller guards against the same in a stream, at its first
// runner and at one at which it goes on.
func TestAnswerWithinHeadOfStreamReachesNoCaller(t *testing.T) {
	first := rawAnswer{head: "HTTP/1.1 200 OK\r\n" + rawIdentity + "X-Note: a\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"}
	for _, second := range []rawAnswer{
		{name: "stream", head: "HTTP/1.1 200 OK\r\n" + rawIdentity + "Transfer-Encoding: chunked\r\n\r\n", content: chunked("id: 2\ndata: other\n\n", "id: 3\ndata: other\n\n")},
		{name: "unframed", head: "HTTP/1.1 200 OK\r\n" + rawIdentity + "\r\n", content: "id: 2\ndata: other\n\n"},
		{name: "unframed error", head: "HTTP/1.1 500 Internal Server Error\r\n" + rawIdentity + "\r\n", content: "data: error\n\n"},
	} {
		t.Run(second.name, func(t *testing.T) {
			c := qt.New(t)
			contents := first.withinHead(second)
			raws := rawBehaviours(contents, standin.ThenClose)
			var resumed [][]standin.Behaviour
			for _, raw := range raws {
				resumed = append(resumed, []standin.Behaviour{begunStream(), raw})
			}
			for i, got := range sendScripts(t, "/resumable/", resumed, 2) {
				c.Check(got.status, qt.Equals, http.StatusOK)
				c.Assert(got.broken, qt.IsTrue, qt.Commentf("%q: %q", contents[i], got.body))
				c.Check(got.body, qt.Equals, standin.Event(1), qt.Commentf("%q", contents[i]))
			}
			for i, got := range sendRaws(t, "/stream/", raws, standin.Behaviour{Events: 3}) {
				checkBadGateway(c, got, contents[i])
			}
		})
	}
}
