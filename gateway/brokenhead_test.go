package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// rawSignature signs the raw answers.
const rawSignature = "i-raw.signed"

// rawIdentity are the header fields that identify a raw answer.
const rawIdentity = standin.HeaderCallID + ": attempt-1\r\n" + standin.HeaderSignature + ": " + rawSignature + "\r\n"

// rawAnswer is an answer that a test cuts.
type rawAnswer struct {
	name          string
	head, content string
	// isUnframed is true if only the end of the connection ends the body.
	isUnframed bool
}

// chunked returns contents as chunks, with the last one.
func chunked(contents ...string) string {
	var chunks strings.Builder
	for _, content := range append(contents, "") {
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(content), content)
	}
	return chunks.String()
}

// plainAnswers are answers that are no streams.
func plainAnswers() []rawAnswer {
	const ok = "HTTP/1.1 200 OK\r\n" + rawIdentity
	return []rawAnswer{
		{name: "length", head: ok + "Content-Length: 16\r\n\r\n", content: "the whole answer"},
		{name: "chunked", head: ok + "Transfer-Encoding: chunked\r\n\r\n", content: chunked("the whole", " answer")},
		{name: "unframed", head: ok + "Connection: close\r\n\r\n", content: "the whole answer", isUnframed: true},
		{name: "after 103", head: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + "Content-Length: 16\r\n\r\n", content: "the whole answer"},
		{name: "no content", head: "HTTP/1.1 204 No Content\r\n" + rawIdentity + "\r\n"},
		{name: "error", head: "HTTP/1.1 500 Internal Server Error\r\n" + rawIdentity + "Content-Length: 5\r\n\r\n", content: "error"},
		{name: "rejection", head: "HTTP/1.1 503 Service Unavailable\r\n" + standin.HeaderCallID + ": attempt-1\r\n" + standin.HeaderNotRun + ": 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"},
	}
}

// cutPoints returns the lengths to which an answer is cut. They include every byte of the
// status line, of the fields that frame the body and of the ends of lines, and every third
// other one.
func (a rawAnswer) cutPoints() []int {
	whole := a.head + a.content
	var points []int
	for length := range whole {
		line := whole[strings.LastIndexByte(whole[:length], '\n')+1:]
		isFrame := strings.HasPrefix(line, "HTTP/") || strings.HasPrefix(line, "Content-Length") || strings.HasPrefix(line, "Transfer-Encoding")
		isLineEnd := strings.ContainsAny(whole[max(length-1, 0):length+1], "\r\n")
		if isFrame || isLineEnd || length%3 == 0 {
			points = append(points, length)
		}
	}
	return points
}

// cuts returns the cut answers whose end can be told from that of a whole one.
func (a rawAnswer) cuts() []string {
	var cuts []string
	whole := a.head + a.content
	for _, length := range a.cutPoints() {
		isEventEnd := strings.HasSuffix(whole[:length], "\n\n")
		isPlainBody := length > len(a.head) && !strings.Contains(a.content, "\n\n")
		if !a.isUnframed || !isEventEnd && !isPlainBody {
			cuts = append(cuts, whole[:length])
		}
	}
	return cuts
}

var rawEnds = map[string]standin.VerbatimEnd{"close": standin.ThenClose, "reset": standin.ThenReset}

// TestPlainAnswerThatBreaksOffIsNeverWhole guards against a head or a body that breaks off at any
// byte and reaches the caller as a whole answer, or as a promise that the request has not run.
func TestPlainAnswerThatBreaksOffIsNeverWhole(t *testing.T) {
	for _, a := range plainAnswers() {
		for name, end := range rawEnds {
			t.Run(a.name+" "+name, func(t *testing.T) {
				cuts := a.cuts()
				for i, got := range sendRaws(t, "/once/", rawBehaviours(cuts, end), okAnswer) {
					checkBadGateway(qt.New(t), got, cuts[i])
				}
				for i, got := range sendRaws(t, "/again/", rawBehaviours(cuts, end), okAnswer) {
					checkSound(qt.New(t), got, cuts[i])
				}
			})
		}
	}
}

// checkBadGateway checks that the caller has got a whole answer of the gateway that promises
// nothing.
func checkBadGateway(c *qt.C, got reply, content string) {
	c.Assert(got.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%q: %v %q", content, got.header, got.body))
	c.Check(got.broken, qt.IsFalse)
	c.Check(got.body, qt.Equals, "")
	c.Check(got.header.Get("Content-Length"), qt.Equals, "0")
	c.Check(got.header.Get(standin.HeaderCallID), qt.Equals, "attempt-1")
	c.Check(got.header.Get(standin.HeaderSignature), qt.Equals, "")
	c.Check(got.header.Get("Retry-After"), qt.Equals, "")
}

// checkSound checks that the caller has got the sound answer of the second attempt.
func checkSound(c *qt.C, got reply, content string) {
	c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%q", content))
	c.Assert(got.body, qt.Equals, okAnswer.Body, qt.Commentf("%q", content))
	signatures := got.header.Values(standin.HeaderSignature)
	c.Check(len(signatures) == 1 && signatures[0] != rawSignature, qt.IsTrue, qt.Commentf("%q: %q", content, signatures))
}

// TestSilenceWithinHeadEndsTheAttempt guards against a head that breaks off without the end of
// its connection, and holds its caller until the deadline.
func TestSilenceWithinHeadEndsTheAttempt(t *testing.T) {
	head := plainAnswers()[0].head
	for _, length := range []int{1, strings.Index(head, "16") + 1, len(head) - 4, len(head) - 1} {
		for _, path := range []string{"/once/", "/stream/", "/again/"} {
			t.Run(path+strconv.Itoa(length), func(t *testing.T) {
				t.Parallel()
				raws := rawBehaviours([]string{head[:length]}, standin.ThenSilence)
				got := sendRaws(t, path, raws, okAnswer, with(standin.HeaderDeadline, "3000"))
				if path == "/again/" {
					checkSound(qt.New(t), got[0], head[:length])
					return
				}
				checkBadGateway(qt.New(t), got[0], head[:length])
			})
		}
	}
}
