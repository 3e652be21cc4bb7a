package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// secondAnswers returns answers that a faulty runner may begin within the head of another one.
func secondAnswers() []wireAnswer {
	answers := wireAnswers()
	return append(
		answers,
		wireAnswer{name: "error", head: "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: attempt-1\r\nContent-Length: 5\r\n\r\n", content: "error"},
		wireAnswer{name: "without reason", head: "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\n", content: "other"},
		wireAnswer{name: "interim answer", head: "HTTP/1.1 100 Continue\r\n\r\n" + answers[0].head, content: answers[0].content},
		wireAnswer{name: "interim answer only", head: "HTTP/1.1 100 Continue\r\n\r\n"},
		wireAnswer{name: "status line with colon", head: "HTTP/1.1 200 OK: again\r\nContent-Length: 5\r\n\r\n", content: "other"},
	)
}

// TestHeadThatBreaksOffForAnotherAnswerIsInvalid guards against a head that breaks off and
// swallows the status line of an answer that follows at once: the status of the one would come
// with fields and the body of the other.
func TestHeadThatBreaksOffForAnotherAnswerIsInvalid(t *testing.T) {
	firsts := append(wireAnswers(), wireAnswer{
		name: "note", head: "HTTP/1.1 200 OK\r\n" + identity + "X-Note: one, two\r\nContent-Length: 12\r\n\r\n", method: http.MethodGet,
	}, wireAnswer{
		name: "interim answer", head: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", method: http.MethodGet,
	})
	for _, first := range firsts {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for _, second := range secondAnswers() {
				for length := 1; length < len(first.head); length++ {
					if !checkInvalid(c, first.method, &sentConn{content: first.head[:length] + second.head + second.content}) {
						break
					}
				}
			}
		})
	}
}

// TestFieldsThatMentionHTTPAreSound guards against sound answers that count as broken off since
// a field names a protocol.
func TestFieldsThatMentionHTTPAreSound(t *testing.T) {
	c := qt.New(t)
	for _, fields := range []string{"Via: HTTP/1.1 cache\r\n", "X-Note: HTTP/1.1\r\n", "Upgrade: HTTP/2.0\r\n", "Link: <http://runner/1.1>\r\n", "X-Note: over HTTP/1.1 2000 times\r\n"} {
		content := "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok"
		got, err := fetch(http.MethodGet, &sentConn{content: content})
		c.Check(err, qt.IsNil, qt.Commentf("%q", content))
		c.Check(got.body, qt.Equals, "ok")
	}
}

// TestLongHeadIsReadWhole guards against heads that are longer than the read buffer and are cut,
// and against bytes of the body that are lost when it grows.
func TestLongHeadIsReadWhole(t *testing.T) {
	c := qt.New(t)
	note := strings.Repeat("x", 20<<10)
	body := strings.Repeat("answer", 10<<10)
	content := "HTTP/1.1 200 OK\r\nX-Note: " + note + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	for _, step := range []int{0, 1, readBufferBytes - 1, readBufferBytes, readBufferBytes + 1} {
		got, err := fetch(http.MethodGet, &sentConn{content: content, step: step})
		c.Assert(err, qt.IsNil)
		c.Check(got.header.Get("X-Note") == note, qt.IsTrue)
		c.Check(got.body == body, qt.IsTrue)
	}
	for _, length := range []int{readBufferBytes - 1, readBufferBytes, readBufferBytes + 1, 20 << 10} {
		c.Check(checkInvalid(c, http.MethodGet, &sentConn{content: content[:length]}), qt.IsTrue)
	}
}
