package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/request"
)

// TestPartOfAnswerIsNotReplayed guards against the part of a stream, or of a collected response,
// that a keyed request got before it broke off, and that a later request with the key gets as
// the whole answer.
func TestPartOfAnswerIsNotReplayed(t *testing.T) {
	for _, row := range []shape{{"chat", chat}, {"collected chat", nonStreamingChat}, {"completion", completion}} {
		for _, isWhole := range []bool{false, true} {
			t.Run(row.name, func(t *testing.T) {
				c := qt.New(t)
				b := newTestbed(c)
				b.addServer(c, func(w http.ResponseWriter, r *http.Request, _ int) {
					w.Header().Set("Content-Type", "text/event-stream")
					_, _ = io.WriteString(w, event("r1", tokenOf(r, 0), ""))
					if isWhole {
						_, _ = io.WriteString(w, event("r1", finishOf(r), "")+endEvent)
						return
					}
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				})
				r := row.make(b.clock.Now()).WithKey("key").WithIdempotent(false)
				r.MaxTokens = 0

				first, second := &fakeWriter{}, &fakeWriter{}
				firstResult := b.Do(context.Background(), r, first)
				r.ID = "r2"
				secondResult := b.Do(context.Background(), r, second)

				want := request.Unknown
				if isWhole {
					want = request.Answered
				}
				c.Check(firstResult.Outcome, qt.Equals, want)
				c.Check(secondResult.Outcome, qt.Equals, want)
				c.Check(secondResult.Relayed, qt.IsTrue)
				c.Check(len(second.chunks) > 0, qt.Equals, isWhole)
			})
		}
	}
}
