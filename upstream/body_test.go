package upstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

func TestBodyIsReadCompletelyUpToItsLimit(t *testing.T) {
	const limit = 40 << 10
	for _, size := range []int{0, 1, 4<<10 - 1, 4 << 10, 4<<10 + 1, limit - 1, limit, limit + 1, 2 * limit} {
		body := strings.Repeat("x", size)
		for framing, answer := range map[string]string{
			"length":   "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n" + body,
			"unframed": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
		} {
			options := upstream.DefaultOptions()
			options.MaxBodyBytes = limit
			r := newScriptedRig(t, options, func(conn net.Conn) {
				_, _ = io.WriteString(conn, answer)
				_ = conn.Close()
			})
			request := upstream.Request{Address: r.address, Host: "runner", Method: http.MethodGet, Target: "/"}
			got, err := r.pool.Send(context.Background(), request)
			r.c.Assert(err, qt.IsNil)
			read, err := got.ReadAll()
			got.Close(err == nil)
			got.Release()
			var tooLarge *upstream.AnswerTooLargeError
			r.c.Check(errors.As(err, &tooLarge), qt.Equals, size > limit, qt.Commentf("%d bytes: %v", size, err))
			hasBegun := size > 0 || framing == "length"
			r.c.Check(err == nil, qt.Equals, hasBegun && size <= limit, qt.Commentf("%s, %d bytes: %v", framing, size, err))
			r.c.Check(size > limit || string(read) == body, qt.IsTrue, qt.Commentf("%d bytes", size))
			r.c.Check(options.Budget.HeldBytes(), qt.Equals, 0)
		}
	}
}

// TestBodyCountsUntilItIsReleased guards against whole answers that are not counted while
// their callers read them.
func TestBodyCountsUntilItIsReleased(t *testing.T) {
	const size = 100 << 10
	options := upstream.DefaultOptions()
	options.Budget = buffer.New(buffer.Options{LimitBytes: 1 << 20})
	r := newRig(t, options, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n"+strings.Repeat("x", size))
	answer, err := r.pool.Send(context.Background(), upstream.Request{Address: r.address, Host: "runner", Method: http.MethodGet, Target: "/"})
	r.c.Assert(err, qt.IsNil)
	_, err = answer.ReadAll()
	r.c.Assert(err, qt.IsNil)
	answer.Close(true)
	r.c.Check(options.Budget.HeldBytes() >= size, qt.IsTrue)
	answer.Release()
	answer.Release()
	r.c.Check(options.Budget.HeldBytes(), qt.Equals, 0)
}

// TestEndlessChunkedBodyIsBounded guards against a body whose framing has no end.
func TestEndlessChunkedBodyIsBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct{ begin, repeated string }{
		"trailer":         {"2\r\nok\r\n0\r\n", "X-Note: x\r\n"},
		"chunk extension": {"2;", "x"},
		"chunk size":      {"", "0"},
		"chunks":          {"", "2\r\nok\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			options := upstream.DefaultOptions()
			options.MaxBodyBytes = 64 << 10
			r := newScriptedRig(t, options, func(conn net.Conn) {
				_, err := io.WriteString(conn, head+test.begin)
				for err == nil {
					_, err = io.WriteString(conn, strings.Repeat(test.repeated, 100))
				}
			})
			r.c.Check(r.send(nil), qt.IsNotNil)
			r.c.Check(options.Budget.HeldBytes(), qt.Equals, 0)
		})
	}
}
