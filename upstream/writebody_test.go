package upstream_test

import (
	"net/http"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// TestBodyIsNotCopied guards against a process that runs out of memory, since it holds the body of
// each request twice.
func TestBodyIsNotCopied(t *testing.T) {
	r := newRig(t, upstream.DefaultOptions(), okAnswer)
	body := make([]byte, 4<<20)
	post := func(request *upstream.Request) { request.Method, request.Body = http.MethodPost, body }
	r.c.Assert(r.send(post), qt.IsNil)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	r.c.Assert(r.send(post), qt.IsNil)
	runtime.ReadMemStats(&after)
	allocated := int(after.TotalAlloc - before.TotalAlloc)
	r.c.Check(allocated < len(body)/4, qt.IsTrue, qt.Commentf("%d bytes are allocated", allocated))
}
