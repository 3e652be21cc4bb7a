package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// begunStream is a stream whose first backend server breaks off.
type begunStream struct {
	shape
	// tokens is the number of tokens before the break.
	tokens int
}

var begunStreams = []begunStream{
	{shape{"streamed chat", chat}, faultTokens},
	{shape{"streamed chat after its role", chat}, 0},
	{shape{"streamed completion", completion}, faultTokens},
	{shape{"collected chat", nonStreamingChat}, faultTokens},
}

// badContinuation is an answer that does not continue a stream soundly.
type badContinuation struct {
	name        string
	status      int
	contentType string
	// body returns the body of the answer to a request that has got the tokens.
	body func(r *http.Request, tokens int) string
}

var (
	notFound = badContinuation{"404", http.StatusNotFound, "application/json", errorBody}
	failed   = badContinuation{"500", http.StatusInternalServerError, "application/json", errorBody}
	endAlone = badContinuation{"end alone", http.StatusOK, "text/event-stream", func(*http.Request, int) string { return endEvent }}
	endEarly = badContinuation{"one token and the end", http.StatusOK, "text/event-stream", oneToken}
)

var badContinuations = []badContinuation{
	{"400", http.StatusBadRequest, "application/json", errorBody},
	notFound,
	{"429", http.StatusTooManyRequests, "application/json", errorBody},
	failed,
	{"503", http.StatusServiceUnavailable, "application/json", errorBody},
	{"500 as a stream", http.StatusInternalServerError, "text/event-stream", errorBody},
	{"204", http.StatusNoContent, "text/event-stream", func(*http.Request, int) string { return "" }},
	{"JSON", http.StatusOK, "application/json", func(*http.Request, int) string { return serviceBody }},
	endAlone,
	endEarly,
	{"stream of another request", http.StatusOK, "text/event-stream", func(r *http.Request, tokens int) string {
		return event("other", tokenOf(r, tokens), "") + endEvent
	}},
	{"error event", http.StatusOK, "text/event-stream", func(*http.Request, int) string {
		return "data: " + errorBody(nil, 0) + "\n\n" + endEvent
	}},
}

const endEvent = "data: [DONE]\n\n"

func errorBody(*http.Request, int) string { return `{"error":"oops"}` }

// oneToken adds one token to those before the break, and none later, so that no number of
// such answers completes the stream.
func oneToken(r *http.Request, tokens int) string {
	if tokens != faultTokens && tokens != 0 {
		return endEvent
	}
	return event(r.Header.Get(backend.RequestIDHeader), tokenOf(r, tokens), "") + endEvent
}

// tokenOf returns the part of a choice with the token of the index.
func tokenOf(r *http.Request, index int) string {
	if r.URL.Path == "/v1/completions" {
		return fmt.Sprintf(`"text":"w%d "`, index)
	}
	return fmt.Sprintf(`"delta":{"content":"w%d "}`, index)
}

// answer writes the answer.
func (s badContinuation) answer(w http.ResponseWriter, r *http.Request, tokens int) {
	w.Header().Set("Content-Type", s.contentType)
	w.WriteHeader(s.status)
	_, _ = io.WriteString(w, s.body(r, tokens))
}

// breakOff writes a stream up to the number of tokens and closes the connection.
func breakOff(w http.ResponseWriter, r *http.Request, tokens int) {
	id := r.Header.Get(backend.RequestIDHeader)
	w.Header().Set("Content-Type", "text/event-stream")
	if r.URL.Path == "/v1/chat/completions" {
		_, _ = io.WriteString(w, event(id, `"delta":{"role":"assistant","content":""}`, ""))
	}
	for i := range tokens {
		_, _ = io.WriteString(w, event(id, tokenOf(r, i), ""))
	}
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// addServer adds a backend server.
func (b *testbed) addServer(c *qt.C, handler func(w http.ResponseWriter, r *http.Request, tokens int)) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(backend.RequestIDHeader, r.Header.Get(backend.RequestIDHeader))
		handler(w, r, continuedTokens(body))
	}))
	c.Cleanup(server.Close)
	name := fmt.Sprintf("runner-%d", len(b.chooser.targets)+1)
	b.chooser.targets = append(b.chooser.targets, dispatch.Target{Name: name, Address: server.Listener.Addr().String()})
}

// addBrokenServers adds a backend server that breaks off, and one with bad continuations. The
// first one gives them too when it is asked again.
func (b *testbed) addBrokenServers(c *qt.C, stream begunStream, bad badContinuation) {
	var hasBroken atomic.Bool
	b.addServer(c, func(w http.ResponseWriter, r *http.Request, tokens int) {
		if hasBroken.CompareAndSwap(false, true) {
			breakOff(w, r, stream.tokens)
		}
		bad.answer(w, r, tokens)
	})
	b.addServer(c, bad.answer)
}

// eachBadContinuation runs the test with each kind of stream and of bad continuation.
func eachBadContinuation(t *testing.T, run func(c *qt.C, stream begunStream, bad badContinuation)) {
	for _, stream := range begunStreams {
		for _, bad := range badContinuations {
			t.Run(stream.name+"/"+bad.name, func(t *testing.T) { run(qt.New(t), stream, bad) })
		}
	}
}

// TestBadContinuationIsReplaced guards against a stream into which the error of a backend server
// gets, or that such a one ends, while another one would continue it.
func TestBadContinuationIsReplaced(t *testing.T) {
	eachBadContinuation(t, func(c *qt.C, stream begunStream, bad badContinuation) {
		b := newTestbed(c)
		b.addBrokenServers(c, stream, bad)
		b.chooser.targets = append(b.chooser.targets, newFakeBackend(c, "runner-3", behaviour{}).target)
		r := stream.make(b.clock.Now())
		w := &fakeWriter{}

		result := b.Do(context.Background(), r, w)

		c.Assert(result.Outcome, qt.Equals, request.Answered, qt.Commentf("problem: %v", result.Problem))
		c.Assert(result.Status, qt.Equals, http.StatusOK)
		c.Assert(result.Backend, qt.Equals, "runner-3")
		c.Assert(b.chooser.began, qt.Equals, 3)
		checkInvariants(c, b, r, w)
	})
}

// TestBadContinuationIsNotTheEnd guards against a part of a stream, or the error of a backend
// server within it, that counts as the whole answer. Attempts are limited as ever.
func TestBadContinuationIsNotTheEnd(t *testing.T) {
	eachBadContinuation(t, func(c *qt.C, stream begunStream, bad badContinuation) {
		b := newTestbed(c)
		b.addBrokenServers(c, stream, bad)
		r := stream.make(b.clock.Now())
		w := &fakeWriter{}

		result := b.Do(context.Background(), r, w)

		c.Check(w.heads <= 1, qt.IsTrue, qt.Commentf("%d heads", w.heads))
		c.Check(strings.Join(w.chunks, ""), qt.Not(qt.Contains), "oops")
		c.Check(w.chunks, qt.Not(qt.Contains), endEvent)
		c.Check(strings.HasPrefix(answerText, w.text()), qt.IsTrue, qt.Commentf("%s", w.text()))
		var exhausted *dispatch.RetriesExhaustedError
		c.Assert(errors.As(result.Problem, &exhausted), qt.IsTrue, qt.Commentf("problem: %v", result.Problem))
		c.Check(result.Outcome, qt.Equals, request.Unknown)
		c.Check(result.Status, qt.Equals, http.StatusBadGateway)
		// The attempt that brought tokens before the break is not charged.
		c.Check(b.chooser.began <= dispatch.DefaultOptions().MaxAttempts+1, qt.IsTrue, qt.Commentf("%d attempts", b.chooser.began))
		checkInvariants(c, b, r, w)
	})
}

// TestIncompleteStreamIsNotAnswered guards against a stream that its first backend server ends
// early, and that counts as whole. One that must not run twice is broken.
func TestIncompleteStreamIsNotAnswered(t *testing.T) {
	for _, early := range []badContinuation{endAlone, endEarly} {
		c := qt.New(t)
		b := newTestbed(c)
		b.addServer(c, early.answer)
		r := chat(b.clock.Now()).WithIdempotent(false)
		w := &fakeWriter{}

		result := b.Do(context.Background(), r, w)

		var broken *dispatch.BrokenStreamError
		c.Assert(errors.As(result.Problem, &broken), qt.IsTrue, qt.Commentf("%s: %v", early.name, result.Problem))
		c.Check(result.Outcome, qt.Equals, request.Unknown)
		c.Check(w.chunks, qt.Not(qt.Contains), endEvent)
		checkInvariants(c, b, r, w)
	}
}

// TestEarlyEndsAreLimited guards against attempts without a limit while each backend server ends
// the stream after a token, as one that never sends a finish reason does.
func TestEarlyEndsAreLimited(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(c)
	b.addServer(c, func(w http.ResponseWriter, r *http.Request, tokens int) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, event(r.Header.Get(backend.RequestIDHeader), tokenOf(r, tokens), "")+endEvent)
	})
	r := chat(b.clock.Now())
	r.MaxTokens = 0
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	w := &fakeWriter{}

	result := b.Do(ctx, r, w)

	c.Check(result.Outcome, qt.Equals, request.Unknown)
	c.Check(b.chooser.began, qt.Equals, dispatch.DefaultOptions().MaxAttempts)
	checkInvariants(c, b, r, w)
}

// TestSoundEndsOfStreams guards against a sound stream that is taken for an incomplete one: the
// finish reason may come with the last token or without text, and usage may be absent.
func TestSoundEndsOfStreams(t *testing.T) {
	usage := `data: {"id":"cmpl-r1","created":1,"choices":[],"usage":{"prompt_tokens":10,"completion_tokens":1}}` + "\n\n"
	token := `"delta":{"content":"w0 "}`
	for _, events := range []string{
		event("r1", token, "") + event("r1", `"delta":{},"finish_reason":"stop"`, ""),
		event("r1", token+`,"finish_reason":"length"`, ""),
		event("r1", token+`,"finish_reason":""`, "") + event("r1", `"delta":{},"finish_reason":"stop"`, "") + usage,
		event("r1", `"delta":{"role":"assistant"},"finish_reason":"content_filter"`, ""),
		event("r1", `"delta":{"tool_calls":[{"index":0}]}`, "") + event("r1", `"delta":{},"finish_reason":"tool_calls"`, ""),
	} {
		for _, isIdempotent := range []bool{true, false} {
			c := qt.New(t)
			b := newTestbed(c)
			b.addServer(c, badContinuation{"", http.StatusOK, "text/event-stream", func(*http.Request, int) string { return events + endEvent }}.answer)
			r := chat(b.clock.Now()).WithIdempotent(isIdempotent)
			w := &fakeWriter{}

			result := b.Do(context.Background(), r, w)

			c.Assert(result.Outcome, qt.Equals, request.Answered, qt.Commentf("%s: %v", events, result.Problem))
			want := strings.ReplaceAll(events, usage, "")
			c.Check(strings.Join(w.chunks, ""), qt.Equals, want+endEvent)
			c.Check(b.chooser.began, qt.Equals, 1)
		}
	}
}

// TestErrorBeforeStreamIsRelayed guards against an answer with an error that is not relayed
// although nothing of a stream had been.
func TestErrorBeforeStreamIsRelayed(t *testing.T) {
	for _, make := range []func(time.Time) request.Request{chat, nonStreamingChat} {
		for _, bad := range []badContinuation{notFound, failed} {
			c := qt.New(t)
			b := newTestbed(c)
			b.addServer(c, bad.answer)
			w := &fakeWriter{}

			result := b.Do(context.Background(), make(b.clock.Now()), w)

			c.Check(result.Outcome, qt.Equals, request.Answered)
			c.Check(result.Status, qt.Equals, bad.status)
			c.Check(w.chunks, qt.DeepEquals, []string{errorBody(nil, 0)})
		}
	}
}
