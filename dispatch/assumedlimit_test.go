package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/request"
)

// TestAssumedLengthIsNoEnd guards against a stream that counts as whole, although it broke off
// or has no finish reason, since it has as many tokens as are assumed for a request without a
// limit: its engine generates more.
func TestAssumedLengthIsNoEnd(t *testing.T) {
	const limit = `"max_tokens":6`
	for _, limits := range []string{`"max_tokens":null`, `"temperature":0`} {
		for _, row := range []shape{{"chat", chat}, {"collected chat", nonStreamingChat}, {"completion", completion}} {
			for _, isEnded := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/ended %t", limits, row.name, isEnded), func(t *testing.T) {
					c := qt.New(t)
					b := newTestbed(c)
					b.addServer(c, func(w http.ResponseWriter, r *http.Request, tokens int) {
						w.Header().Set("Content-Type", "text/event-stream")
						if tokens == answerTokens {
							_, _ = io.WriteString(w, event("r1", tokenOf(r, answerTokens), "")+event("r1", finishOf(r), "")+endEvent)
							return
						}
						sendAssumed(w, r, isEnded)
					})
					r := row.make(b.clock.Now())
					r = r.WithBody([]byte(strings.Replace(string(r.Body), limit, limits, 1)))
					w := &fakeWriter{}

					result := b.Do(context.Background(), r, w)

					c.Check(result.Outcome, qt.Equals, request.Answered, qt.Commentf("problem: %v", result.Problem))
					c.Check(w.text(), qt.Equals, answerText+"w6 ")
				})
			}
		}
	}
}

// sendAssumed sends the assumed number of tokens, and ends the stream or breaks it off.
func sendAssumed(w http.ResponseWriter, r *http.Request, isEnded bool) {
	for i := range answerTokens {
		_, _ = io.WriteString(w, event("r1", tokenOf(r, i), ""))
	}
	if isEnded {
		_, _ = io.WriteString(w, endEvent)
		return
	}
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// finishOf returns the choice of the last chunk, with the reason for the end.
func finishOf(r *http.Request) string {
	if strings.HasSuffix(r.URL.Path, "/chat/completions") {
		return `"delta":{},"finish_reason":"stop"`
	}
	return `"text":"","finish_reason":"stop"`
}
