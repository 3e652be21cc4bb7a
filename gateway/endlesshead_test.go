package gateway_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// TestEndlessHeadEndsTheAttempt guards against requests that wait until their deadline for
// the end of a head that has none, and against bytes of it that reach a caller.
func TestEndlessHeadEndsTheAttempt(t *testing.T) {
	for name, endless := range map[string]standin.Endless{
		"bytes that are no answer": {Content: "no answer ", Place: standin.InsteadOfHead},
		"a status line":            {Content: "HTTP/1.1 200 OK ", Place: standin.InsteadOfHead},
		"header lines":             {Content: "X-Note: x\r\n", Place: standin.InHead},
		"one header line":          {Content: "X-Note: x", Place: standin.InHead},
		"interim answers":          {Content: "HTTP/1.1 102 Processing\r\nX-Note: x\r\n\r\n", Place: standin.InsteadOfHead},
	} {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			for _, path := range []string{"/once/a", "/stream/a"} {
				endless := standin.Endless{Content: endless.Content, Place: endless.Place, Pause: pause}
				t.Run(strings.Join([]string{name, pause.String(), path}, " "), func(t *testing.T) {
					t.Parallel()
					r := newRig(t, always(standin.Behaviour{Endless: endless}))
					got := r.send(path, with(standin.HeaderDeadline, "3000"))
					// At the deadline, the status would be 504.
					r.c.Check(got.status, qt.Equals, 502)
					r.c.Check(got.body, qt.Equals, "")
					r.c.Check(got.header.Get("X-Note"), qt.Equals, "")
				})
			}
		}
	}
}
