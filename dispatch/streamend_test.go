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

// TestFullStreamGetsFinishReason guards against a stream with all tokens that the request allows
// whose caller does not get a finish reason, because the engine sent none before [DONE].
func TestFullStreamGetsFinishReason(t *testing.T) {
	for _, row := range []shape{{"chat", chat}, {"collected chat", nonStreamingChat}, {"completion", completion}} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			b := newTestbed(c)
			b.addServer(c, func(w http.ResponseWriter, r *http.Request, _ int) {
				w.Header().Set("Content-Type", "text/event-stream")
				for i := range answerTokens {
					_, _ = io.WriteString(w, event("r1", tokenOf(r, i), ""))
				}
				_, _ = io.WriteString(w, endEvent)
			})
			w := &fakeWriter{}

			result := b.Do(context.Background(), row.make(b.clock.Now()), w)

			c.Assert(result.Outcome, qt.Equals, request.Answered)
			c.Check(w.text(), qt.Equals, answerText)
			c.Check(strings.Join(w.chunks, ""), qt.Contains, `"finish_reason":"length"`)
		})
	}
}

// TestBreakBetweenChoicesIsNoEnd guards against a stream of several choices that counts as whole
// as soon as one of them has a finish reason.
func TestBreakBetweenChoicesIsNoEnd(t *testing.T) {
	choice := func(index int, rest string) string {
		return fmt.Sprintf("data: {\"id\":\"cmpl-r1\",\"choices\":[{\"index\":%d,%s}]}\n\n", index, rest)
	}
	token, finish := `"delta":{"content":"w0 "}`, `"delta":{},"finish_reason":"stop"`
	both := choice(0, token) + choice(1, token)
	for _, scenario := range []struct {
		name, events string
		isEnded      bool
		outcome      request.Outcome
	}{
		{"broken off after one", both + choice(0, finish), false, request.Unknown},
		{"broken off after the other", both + choice(1, finish), false, request.Unknown},
		{"broken off before the other begins", choice(0, token) + choice(0, finish), false, request.Unknown},
		{"ended after one", both + choice(1, finish), true, request.Unknown},
		{"broken off after both", both + choice(0, finish) + choice(1, finish), false, request.Answered},
		{"ended after both", both + choice(1, finish) + choice(0, finish), true, request.Answered},
		{"ended after the only one", choice(0, token) + choice(0, finish), true, request.Answered},
		{"repeated finish reason", both + choice(0, finish) + choice(0, finish), false, request.Unknown},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			b := newTestbed(c)
			b.addServer(c, func(w http.ResponseWriter, _ *http.Request, _ int) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, scenario.events)
				if !scenario.isEnded {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, endEvent)
			})
			r := chat(b.clock.Now())
			r = r.WithBody([]byte(strings.Replace(string(r.Body), `"stream"`, `"n":2,"stream"`, 1)))
			w := &fakeWriter{}

			result := b.Do(context.Background(), r, w)

			c.Check(result.Outcome, qt.Equals, scenario.outcome, qt.Commentf("problem: %v", result.Problem))
			want := scenario.events
			if scenario.outcome == request.Answered {
				want += endEvent
			}
			c.Check(strings.Join(w.chunks, ""), qt.Equals, want)
		})
	}
}

// TestPromptsOfCompletionAreCounted guards against a completion of several prompts that counts as
// whole after the text for one of them, and one of a prompt of tokens that never does.
func TestPromptsOfCompletionAreCounted(t *testing.T) {
	for _, scenario := range []struct {
		prompt  string
		outcome request.Outcome
	}{
		{`"hello "`, request.Answered},
		{`[7,8]`, request.Answered},
		{`["hello "]`, request.Answered},
		{`["hello ","hello "]`, request.Unknown},
		{`[[7,8],[9]]`, request.Unknown},
	} {
		t.Run(scenario.prompt, func(t *testing.T) {
			c := qt.New(t)
			b := newTestbed(c)
			b.addServer(c, func(w http.ResponseWriter, _ *http.Request, _ int) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, event("r1", `"text":"w0 ","finish_reason":"stop"`, ""))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
			r := completion(b.clock.Now())
			r = r.WithBody([]byte(strings.Replace(string(r.Body), `"hello "`, scenario.prompt, 1)))

			result := b.Do(context.Background(), r, &fakeWriter{})

			c.Check(result.Outcome, qt.Equals, scenario.outcome, qt.Commentf("problem: %v", result.Problem))
		})
	}
}
