package dispatch_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// shape is a kind of request in the test matrix.
type shape struct {
	name string
	make func(now time.Time) request.Request
}

var shapes = []shape{
	{"streamed chat", chat},
	{"non-streaming chat", nonStreamingChat},
	{"streamed completion", completion},
	{"keyed chat", func(now time.Time) request.Request { return chat(now).WithKey("key") }},
	{"non-idempotent chat", func(now time.Time) request.Request { return chat(now).WithIdempotent(false) }},
	{"idempotent service request", func(now time.Time) request.Request { return placement(now).WithIdempotent(true) }},
	{"service request with key", func(now time.Time) request.Request { return placement(now).WithKey("key") }},
	{"service request without key", placement},
}

// faultCase is a fault at a stage of the response, with the expected outcomes of
// idempotent and non-idempotent requests. The second backend server has no fault,
// except for the fault deadline.
type faultCase struct {
	behaviour
	idempotent    request.Outcome
	nonIdempotent request.Outcome
}

var faultCases = []faultCase{
	{behaviour{fault: "none"}, request.Answered, request.Answered},
	{behaviour{fault: "refused"}, request.Answered, request.Answered},
	{behaviour{fault: "closed"}, request.Answered, request.Unknown},
	{behaviour{fault: "crossed"}, request.Answered, request.Unknown},
	{behaviour{fault: "crossed busy"}, request.Answered, request.Unknown},
	{behaviour{fault: "silent"}, request.Answered, request.Unknown},
	{behaviour{fault: "busy"}, request.Answered, request.Answered},
	{behaviour{fault: "slow"}, request.Answered, request.Answered},
	{behaviour{fault: "cancelled"}, request.Unknown, request.Unknown},
	{behaviour{fault: "deadline"}, request.Unknown, request.Unknown},
	{behaviour{fault: "truncated", late: true}, request.Answered, request.Unknown},
	{behaviour{fault: "crossed", late: true}, request.Answered, request.Unknown},
	{behaviour{fault: "silent", late: true}, request.Answered, request.Unknown},
	{behaviour{fault: "slow", late: true}, request.Answered, request.Answered},
	{behaviour{fault: "cancelled", late: true}, request.Unknown, request.Unknown},
	{behaviour{fault: "deadline", late: true}, request.Unknown, request.Unknown},
}

func TestEveryFaultAtEveryStep(t *testing.T) {
	for _, row := range shapes {
		for _, cell := range faultCases {
			if cell.late && cell.fault == "crossed" && !row.make(time.Time{}).IsModelCall() {
				continue // The request ID is only in the head of a non-streaming response.
			}
			name := row.name + "/" + cell.fault
			if cell.late {
				name += " late"
			}
			t.Run(name, func(t *testing.T) { runCell(t, row, cell) })
		}
	}
}

func runCell(t *testing.T, row shape, cell faultCase) {
	c := qt.New(t)
	second := behaviour{}
	if cell.fault == "deadline" {
		second = cell.behaviour
	}
	b := newTestbed(t, cell.behaviour, second)
	r := row.make(b.clock.Now())
	if cell.fault != "deadline" && cell.fault != "cancelled" {
		r = r.WithDeadline(b.clock.Now().Add(time.Hour))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := &fakeWriter{}
	stopped := make(chan struct{})
	delivered := make(chan struct{})
	if !cell.late || !r.Stream {
		close(delivered)
	} else {
		w.onChunk = func(count int) {
			if count == 1+faultTokens {
				close(delivered)
			}
		}
	}
	go func() {
		defer close(stopped)
		b.injectFault(ctx, cell.fault, r, delivered, cancel)
	}()

	result := b.Do(ctx, r, w)

	cancel()
	<-stopped
	want := cell.nonIdempotent
	if r.Idempotent {
		want = cell.idempotent
	}
	c.Assert(result.Outcome, qt.Equals, want, qt.Commentf("problem: %v", result.Problem))
	checkInvariants(c, b, r, w)
}

// timersOfSilentAttempt is the number of timers that run while an attempt waits for
// a silent backend server: the client's for idle connections, the deadline and the
// silence timeout.
const timersOfSilentAttempt = 3

// injectFault triggers the fault after the first backend server has stopped
// responding and the caller has received what was sent before.
func (b *testbed) injectFault(ctx context.Context, fault string, r request.Request, delivered chan struct{}, cancel func()) {
	first := b.backends[0]
	select {
	case <-first.hung:
	case <-ctx.Done():
		return
	}
	<-delivered
	switch fault {
	case "silent":
		if b.clock.BlockUntilContext(ctx, timersOfSilentAttempt) != nil {
			return
		}
		if !r.Idempotent {
			// No other attempt may be made, so the request waits for its deadline.
			b.clock.Advance(r.Deadline.Sub(b.clock.Now()))
			return
		}
		// The bytes that were sent before may arrive after the first steps.
		for step := 0; step < 30 && ctx.Err() == nil; step++ {
			b.clock.Advance(time.Minute)
			time.Sleep(reactionTime)
		}
	case "slow":
		b.clock.Advance(5 * time.Second)
		close(first.release)
	case "deadline":
		b.clock.Advance(5 * time.Second)
	case "cancelled":
		cancel()
		if r.NeedsClaim() {
			// The request continues to store its answer for other requests with
			// the key, so it ends at its deadline.
			b.clock.Advance(5 * time.Second)
		}
	}
}

// checkInvariants asserts what must hold after every request, with any fault.
func checkInvariants(c *qt.C, b *testbed, r request.Request, w *fakeWriter) {
	c.Assert(w.results, qt.HasLen, 1)
	result := w.results[0]
	requests := b.requests()
	c.Assert(result.Outcome == request.Answered, qt.Equals, result.Problem == nil)
	if result.Outcome == request.NotRun {
		c.Assert(requests, qt.Equals, 0)
	}
	if !r.Idempotent {
		c.Assert(requests <= 1, qt.IsTrue, qt.Commentf("%d requests", requests))
	}
	c.Assert(w.heads <= 1, qt.IsTrue)
	c.Assert(result.HeadWritten, qt.Equals, w.heads == 1)
	switch {
	case result.Outcome != request.Answered:
		c.Assert(r.Stream || !result.HeadWritten, qt.IsTrue)
	case result.Status != http.StatusOK:
		c.Assert(w.chunks, qt.HasLen, 0)
	case r.Stream:
		checkStream(c, r, w)
	case r.IsModelCall():
		checkNonStream(c, r, w)
	default:
		c.Assert(w.chunks, qt.DeepEquals, []string{serviceBody})
	}
	c.Assert(b.InFlight(), qt.Equals, 0)
	c.Assert(b.chooser.ended, qt.HasLen, b.chooser.began)
}

// checkStream asserts that the caller received one consistent stream.
func checkStream(c *qt.C, r request.Request, w *fakeWriter) {
	c.Assert(w.text(), qt.Equals, answerText)
	events := w.events(c)
	for i, fields := range events {
		c.Assert(fields.ID, qt.Equals, "cmpl-"+r.ID)
		_, found := fields.Choices[0].Delta["role"]
		c.Assert(found, qt.Equals, i == 0 && r.Kind == request.Chat)
	}
	last := events[len(events)-1]
	c.Assert(last.Usage.PromptTokens, qt.Equals, 10)
	c.Assert(last.Usage.CompletionTokens, qt.Equals, answerTokens)
	c.Assert(w.chunks[len(w.chunks)-1], qt.Equals, "data: [DONE]\n\n")
}

// checkNonStream asserts that the caller received one complete response.
func checkNonStream(c *qt.C, r request.Request, w *fakeWriter) {
	c.Assert(w.chunks, qt.HasLen, 1)
	c.Assert(w.text(), qt.Equals, answerText)
	var fields backend.ChunkFields
	c.Assert(json.Unmarshal([]byte(w.chunks[0]), &fields), qt.IsNil)
	c.Assert(fields.ID, qt.Equals, "cmpl-"+r.ID)
	c.Assert(*fields.Choices[0].FinishReason, qt.Equals, "stop")
	c.Assert(fields.Usage.PromptTokens, qt.Equals, 10)
	c.Assert(fields.Usage.CompletionTokens, qt.Equals, answerTokens)
}
