package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// wireAnswer is an answer as a runner sends it.
type wireAnswer struct {
	name   string
	method string
	// head includes the empty line at its end. The lines end with CRLF.
	head string
	// content is what follows the head, and body what it stands for.
	content, body string
	status        int
	// isUnframed is true if only the end of the connection ends the body.
	isUnframed bool
}

const (
	// identity are header fields of each answer of the tests.
	identity = "Request-Id: attempt-1\r\nSignature: i-a.signed\r\n"
	chunks   = "4\r\nansw\r\n2;x=1\r\ner\r\n0\r\n"
)

// wireAnswers returns an answer of each kind of framing.
func wireAnswers() []wireAnswer {
	return []wireAnswer{
		{name: "length", method: "GET", head: "HTTP/1.1 200 OK\r\n" + identity + "Content-Length: 12\r\n\r\n", content: "whole answer", body: "whole answer", status: 200},
		{name: "length first", method: "POST", head: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + identity + "\r\n", content: "whole answer", body: "whole answer", status: 200},
		{name: "length zero", method: "POST", head: "HTTP/1.1 200 OK\r\n" + identity + "Content-Length: 0\r\n\r\n", status: 200},
		{name: "chunked", method: "GET", head: "HTTP/1.1 200 OK\r\n" + identity + "Transfer-Encoding: chunked\r\n\r\n", content: chunks + "\r\n", body: "answer", status: 200},
		{name: "chunked with trailer", method: "GET", head: "HTTP/1.1 200 OK\r\n" + identity + "Trailer: X-End\r\nTransfer-Encoding: chunked\r\n\r\n", content: chunks + "X-End: 1\r\n\r\n", body: "answer", status: 200},
		{name: "chunked with length", method: "GET", head: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n" + identity + "\r\n", content: chunks + "\r\n", body: "answer", status: 200},
		{name: "unframed", method: "GET", head: "HTTP/1.1 200 OK\r\n" + identity + "Connection: close\r\n\r\n", content: "answer", body: "answer", status: 200, isUnframed: true},
		{name: "unframed error", method: "GET", head: "HTTP/1.1 500 Internal Server Error\r\n" + identity + "\r\n", content: "answer", body: "answer", status: 500, isUnframed: true},
		{name: "no content", method: "GET", head: "HTTP/1.1 204 No Content\r\n" + identity + "\r\n", status: 204},
		{name: "not modified", method: "GET", head: "HTTP/1.1 304 Not Modified\r\n" + identity + "Content-Length: 12\r\n\r\n", status: 304},
		{name: "rejection", method: "POST", head: "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: attempt-1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\n", content: "full", body: "full", status: 503},
		{name: "HEAD", method: "HEAD", head: "HTTP/1.1 200 OK\r\n" + identity + "Content-Length: 12\r\n\r\n", status: 200},
		{name: "HEAD unframed", method: "HEAD", head: "HTTP/1.1 200 OK\r\n" + identity + "\r\n", status: 200},
		{name: "HTTP/1.0", method: "GET", head: "HTTP/1.0 200 OK\r\n" + identity + "Content-Length: 6\r\n\r\n", content: "answer", body: "answer", status: 200},
	}
}

// variants returns an answer with other ends of lines and after interim answers.
func (a wireAnswer) variants() []wireAnswer {
	var variants []wireAnswer
	for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"} {
		variant := a
		variant.head = interim + a.head
		if interim != "" {
			variant.name += " after " + interim[9:12]
		}
		variants = append(variants, variant)
		variant.head = strings.ReplaceAll(variant.head, "\r\n", "\n")
		variant.name += " with bare LF"
		variants = append(variants, variant)
	}
	return variants
}

// sentConn is a connection on which a runner has sent certain bytes.
type sentConn struct {
	net.Conn
	content string
	// step bounds the bytes of one read. Zero means no limit.
	step int
	// isReset is true if the runner has reset the connection afterwards. The first read that
	// finds no more bytes reports it, and the next ones an orderly end, as the kernel does.
	isReset bool
}

func (*sentConn) Write(content []byte) (int, error) { return len(content), nil }

func (*sentConn) Close() error { return nil }

func (c *sentConn) Read(buffer []byte) (int, error) {
	if c.step > 0 && len(buffer) > c.step {
		buffer = buffer[:c.step]
	}
	count := copy(buffer, c.content)
	c.content = c.content[count:]
	switch {
	case count > 0:
		return count, nil
	case c.isReset:
		c.isReset = false
		return 0, syscall.ECONNRESET
	default:
		return 0, io.EOF
	}
}

// received is an answer as the pool returns it.
type received struct {
	status int
	header http.Header
	body   string
}

// fetch sends a request on a connection and reads the answer.
func fetch(method string, conn *sentConn) (received, error) {
	pool := New(telemetry.NewCommon(), DefaultOptions())
	request := Request{Address: "runner", Host: "runner", Method: method, Target: "/"}
	answer, err := pool.exchange(newConnection(conn, "runner"), request)
	if err != nil {
		return received{}, err
	}
	body, err := answer.ReadAll()
	answer.Release()
	return received{status: answer.Status, header: answer.Header, body: string(body)}, err
}

// checkInvalid checks that what a runner has sent is reported as broken off, and returns whether
// it is.
func checkInvalid(c *qt.C, method string, conn *sentConn) bool {
	content := conn.content
	got, err := fetch(method, conn)
	var invalid *InvalidAnswerError
	return c.Check(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%q passed as %d %v %q, error %v", content, got.status, got.header, got.body, err))
}

// TestAnswerThatBreaksOffIsNeverWhole guards against a head or a body that breaks off at any
// byte and passes for a whole answer.
func TestAnswerThatBreaksOffIsNeverWhole(t *testing.T) {
	for _, sound := range wireAnswers() {
		for _, a := range sound.variants() {
			t.Run(a.name, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				whole := a.head + a.content
				for _, step := range []int{0, 1} {
					got, err := fetch(a.method, &sentConn{content: whole, step: step})
					c.Assert(err, qt.IsNil)
					c.Assert(got.status, qt.Equals, a.status)
					c.Assert(got.body, qt.Equals, a.body)
					for length := range whole {
						checkInvalid(c, a.method, &sentConn{content: whole[:length], step: step, isReset: true})
						// The end of an unframed body can't be told from that of a whole one.
						if !a.isUnframed || length < len(a.head) {
							checkInvalid(c, a.method, &sentConn{content: whole[:length], step: step})
						}
					}
				}
			})
		}
	}
}

// TestUnframedSuccessWithoutBodyIsNotWhole guards against a crash after the head that passes for
// a whole answer with an empty body.
func TestUnframedSuccessWithoutBodyIsNotWhole(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 201 Created", "HTTP/1.1 206 Partial Content", "HTTP/1.0 200 OK", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK"} {
		checkInvalid(qt.New(t), http.MethodPost, &sentConn{content: line + "\r\n" + identity + "\r\n"})
	}
}

// TestOtherUnframedAnswerWithoutBodyIsWhole guards against errors of runners, and answers that
// have no content, that are replaced since they have neither a length nor a body: their status
// says what the caller must know.
func TestOtherUnframedAnswerWithoutBodyIsWhole(t *testing.T) {
	c := qt.New(t)
	for _, line := range []string{"HTTP/1.1 205 Reset Content", "HTTP/1.1 303 See Other", "HTTP/1.1 404 Not Found", "HTTP/1.1 500 Internal Server Error", "HTTP/1.1 503 Service Unavailable"} {
		got, err := fetch(http.MethodPost, &sentConn{content: line + "\r\n" + identity + "\r\n"})
		c.Check(err, qt.IsNil, qt.Commentf("%s", line))
		c.Check(got.body, qt.Equals, "")
	}
}
