package upstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// begin sends a request with a method and returns its answer.
func (r *rig) begin(method string) *upstream.Answer {
	answer, err := r.pool.Send(context.Background(), upstream.Request{Address: r.address, Method: method, Target: "/", Host: "h", Header: http.Header{}})
	r.c.Assert(err, qt.IsNil)
	return answer
}

// Guards against an answer that can't be reached since an answer to another request precedes it,
// and against bytes of that one in its body.
func TestNextAnswerFollowsSkippedOne(t *testing.T) {
	for name, other := range map[string]string{
		"with a length":              "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy",
		"without a body":             "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
		"in chunks":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmany\r\n0\r\n\r\n",
		"after an interim answer":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\nfail",
		"of a status without a body": "HTTP/1.1 204 No Content\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, upstream.DefaultOptions(), other+okAnswer)
			answer := r.begin(http.MethodPost)
			r.c.Assert(answer.Next(), qt.IsNil)
			body, err := answer.ReadAll()
			r.c.Assert(err, qt.IsNil)
			r.c.Check(answer.Status, qt.Equals, http.StatusOK)
			r.c.Check(string(body), qt.Equals, "ok")
			answer.Close(true)
			answer.Release()
			r.begin(http.MethodPost).Close(false)
			r.c.Check(r.connections.Load(), qt.Equals, int64(2))
		})
	}
}

// Guards against bytes of an answer that are taken for the head of the next one: the end of the
// first can't be found.
func TestAnswerWithoutKnownEndIsNotSkipped(t *testing.T) {
	for name, other := range map[string]string{
		"without a length":  "HTTP/1.1 503 Busy\r\n\r\n",
		"with a long body":  "HTTP/1.1 503 Busy\r\nContent-Length: 1000000\r\n\r\n",
		"with a short body": "HTTP/1.1 503 Busy\r\nContent-Length: 400\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := newScriptedRig(t, upstream.DefaultOptions(), func(conn net.Conn) {
				_, _ = io.WriteString(conn, other+okAnswer)
				_ = conn.Close()
			})
			answer := r.begin(http.MethodPost)
			defer answer.Close(false)
			var invalid *upstream.InvalidAnswerError
			r.c.Check(errors.As(answer.Next(), &invalid), qt.IsTrue)
			var unskippable *upstream.UnskippableError
			r.c.Check(errors.As(invalid.Cause, &unskippable), qt.IsTrue, qt.Commentf("%v", invalid))
		})
	}
}

// Guards against the answer to a HEAD request, which announces a body that it does not have, being
// skipped together with the answer that follows.
func TestAnswerIsNotSkippedAfterHeadRequest(t *testing.T) {
	r := newScriptedRig(t, upstream.DefaultOptions(), func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n")
	})
	head := r.begin(http.MethodHead)
	_, err := head.ReadAll()
	r.c.Assert(err, qt.IsNil)
	head.Close(true)
	answer := r.begin(http.MethodPost)
	defer answer.Close(false)
	r.c.Assert(answer.Reused, qt.IsTrue)
	r.c.Check(answer.Next(), qt.ErrorMatches, ".*can't be found.*")
}
