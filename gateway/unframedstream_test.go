package gateway_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// Guards against the crash of a runner that passes for a whole answer: a stream with neither a
// length nor chunks that ends before its first event.
func TestUnframedStreamWithoutEventIsNotWhole(t *testing.T) {
	for _, scenario := range []struct{ name, body string }{
		{"nothing", ""},
		{"a comment", ": wait\n\n"},
		{"half an event", "id: 1\ndata: a\n"},
	} {
		for _, path := range []string{"/stream/a", "/resumable/a"} {
			t.Run(scenario.name+" "+path, func(t *testing.T) {
				r := newRig(t, always(standin.Behaviour{Body: scenario.body, Unframed: true}))
				got := r.send(path)
				r.c.Check(got.status == http.StatusOK && !got.broken, qt.IsFalse)
				r.c.Check(r.contents.Report(true, time.Now()).Crashes, qt.HasLen, 1)
			})
		}
	}
}

// Guards against sound streams that count as broken off since their runners send neither a
// length nor chunks.
func TestUnframedStreamWithEventsIsWhole(t *testing.T) {
	body := standin.Events(2)
	for _, path := range []string{"/stream/a", "/resumable/a"} {
		t.Run(path, func(t *testing.T) {
			r := newRig(t, always(standin.Behaviour{Body: body, Unframed: true}))
			got := r.send(path)
			r.c.Check(got.status, qt.Equals, http.StatusOK)
			r.c.Check(got.broken, qt.IsFalse)
			r.c.Check(got.body, qt.Equals, body)
		})
	}
}

// Guards against an empty stream that counts as broken off although its length says that it is
// whole.
func TestEmptyStreamWithLengthIsWhole(t *testing.T) {
	r := newRig(t, always(standin.Behaviour{}))
	got := r.send("/stream/a")
	r.c.Check(got.status, qt.Equals, http.StatusOK)
	r.c.Check(got.broken, qt.IsFalse)
}
