package gateway_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// Guards against the crash of a runner that passes for a whole, empty answer: one with neither a
// length nor chunks that ends before the first byte of its body.
func TestUnframedAnswerWithoutBodyIsACrash(t *testing.T) {
	for _, path := range []string{"/once/a", "/again/a"} {
		r := newRig(t, always(standin.Behaviour{Unframed: true}))
		got := r.send(path)
		r.c.Check(got.status, qt.Equals, http.StatusBadGateway)
		r.c.Check(r.contents.Report(true, time.Now()).Crashes, qt.HasLen, 1)
	}
}

// Guards against sound answers without a body that count as broken off.
func TestAnswerWithoutBodyIsWhole(t *testing.T) {
	for name, answer := range map[string]standin.Behaviour{
		"length":             {},
		"no content":         {Status: http.StatusNoContent, Unframed: true},
		"not modified":       {Status: http.StatusNotModified, Unframed: true},
		"error of a request": {Status: http.StatusNotFound, Unframed: true},
		"error of a runner":  {Status: http.StatusInternalServerError, Unframed: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, always(answer))
			got := r.send("/once/a")
			r.c.Check(got.status, qt.Equals, max(answer.Status, http.StatusOK))
			r.c.Check(got.header.Get(standin.HeaderSignature), qt.Equals, "i-a.signed")
			r.c.Check(r.contents.Report(true, time.Now()).Crashes, qt.HasLen, 0)
		})
	}
	r := newRig(t, always(standin.Behaviour{Unframed: true}))
	head := r.send("/again/a", func(request *http.Request) { request.Method = http.MethodHead })
	r.c.Check(head.status, qt.Equals, http.StatusOK)
}
