package dispatch_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/suspect"
)

func TestKeyedRequestRunsOnceWhenSentTwice(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, behaviour{})
	for range 2 {
		w := &fakeWriter{}
		result := b.Do(context.Background(), placement(b.clock.Now()).WithKey("key"), w)
		c.Assert(result.Problem, qt.IsNil)
		c.Assert(w.chunks, qt.DeepEquals, []string{serviceBody})
	}
	c.Assert(b.requests(), qt.Equals, 1)
}

func TestDuplicateRequestWaitsForTheFirst(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, behaviour{fault: "slow"})
	r := placement(b.clock.Now()).WithKey("key")
	first := make(chan dispatch.Result, 1)
	go func() { first <- b.Do(context.Background(), r, &fakeWriter{}) }()
	<-b.backends[0].hung
	second := make(chan dispatch.Result, 1)
	w := &fakeWriter{}
	go func() { second <- b.Do(context.Background(), r, w) }()

	close(b.backends[0].release)

	c.Assert((<-first).Outcome, qt.Equals, request.Answered)
	c.Assert((<-second).Relayed, qt.IsTrue)
	c.Assert(w.chunks, qt.DeepEquals, []string{serviceBody})
	c.Assert(b.requests(), qt.Equals, 1)
}

func TestTwoDaemonsRunKeyedRequestOnce(t *testing.T) {
	for _, behave := range []behaviour{{}, {fault: "closed"}, {fault: "truncated", late: true}, {fault: "refused"}} {
		t.Run(behave.fault, func(t *testing.T) {
			c := qt.New(t)
			one, two := newTestbed(t, behave), newDaemonTestbed(t, "entry-2")
			two.claimer.fakeClaimLog, two.chooser.targets = one.claimer.fakeClaimLog, one.chooser.targets
			one.peerAnswers, two.peerAnswers = two.answers, one.answers
			r := placement(one.clock.Now()).WithKey("key")
			results := make(chan dispatch.Result, 2)
			for _, daemon := range []*testbed{one, two} {
				go func() { results <- daemon.Do(context.Background(), r, &fakeWriter{}) }()
			}

			first, second := <-results, <-results

			c.Assert(one.requests() <= 1, qt.IsTrue)
			switch behave.fault {
			case "":
				c.Assert(first.Outcome, qt.Equals, request.Answered)
				c.Assert(second.Outcome, qt.Equals, request.Answered)
			case "refused":
				c.Assert(one.requests(), qt.Equals, 0)
			default:
				c.Assert(first.Outcome, qt.Equals, request.Unknown)
				c.Assert(second.Outcome, qt.Equals, request.Unknown)
			}
		})
	}
}

func TestClaimNotWon(t *testing.T) {
	winner := claim.Claim{Key: "key", Daemon: "entry-2"}
	whole := answer.Answer{Outcome: request.Answered, Status: http.StatusCreated, Body: []byte("done")}
	for _, scenario := range []struct {
		name    string
		err     error
		relayed *answer.Answer
		outcome request.Outcome
		status  int
	}{
		{"holder answered", nil, &whole, request.Answered, http.StatusCreated},
		{"holder proved NotRun", nil, &answer.Answer{Outcome: request.NotRun}, request.Unknown, http.StatusBadGateway},
		{"holder reports Unknown", nil, &answer.Answer{Outcome: request.Unknown}, request.Unknown, http.StatusBadGateway},
		{"holder has no answer", nil, nil, request.Unknown, http.StatusBadGateway},
		{"claim log unavailable", &answer.NotFoundError{}, nil, request.Unknown, http.StatusServiceUnavailable},
		{"key used with another payload", &dispatch.ConflictError{}, nil, request.Unknown, http.StatusUnprocessableEntity},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			b := newTestbed(t, behaviour{})
			b.claimer.err = scenario.err
			b.claimer.claims["key"] = winner
			if scenario.relayed != nil {
				b.peerAnswers.Begin("key").Finish(*scenario.relayed)
			}
			w := &fakeWriter{}

			result := b.Do(context.Background(), placement(b.clock.Now()).WithKey("key"), w)

			c.Assert(result.Outcome, qt.Equals, scenario.outcome)
			c.Assert(result.Status, qt.Equals, scenario.status)
			c.Assert(b.requests(), qt.Equals, 0)
			c.Assert(w.results, qt.HasLen, 1)
		})
	}
}

func TestClaimIsReleasedAfterOutcomeIsReported(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t)
	r := placement(b.clock.Now()).WithKey("key")
	w := &fakeWriter{}
	held := false
	w.onFinish = func() { _, held = b.claimer.claims["key"] }

	result := b.Do(context.Background(), r, w)

	c.Assert(result.Outcome, qt.Equals, request.NotRun)
	c.Assert(result.RetryAfter, qt.Equals, time.Second)
	c.Assert(held, qt.IsTrue)
	c.Assert(b.claimer.claims, qt.HasLen, 0)
	c.Assert(b.answers.Len(), qt.Equals, 0)
}

func TestMoveContinuesStreamOnAnotherBackend(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, behaviour{fault: "silent", late: true}, behaviour{})
	w := &fakeWriter{}
	w.onChunk = func(count int) {
		if count == 1+faultTokens {
			c.Check(b.MoveStreams("runner-1"), qt.Equals, 1)
		}
	}
	r := chat(b.clock.Now())

	result := b.Do(context.Background(), r, w)

	c.Assert(result.Outcome, qt.Equals, request.Answered)
	c.Assert(b.backends[1].bodies, qt.HasLen, 1)
	for _, part := range []string{
		`{"role":"assistant","content":"w0 w1 w2 "}`, `"continue_final_message":true`,
		`"add_generation_prompt":false`, `"max_tokens":3`,
	} {
		c.Assert(strings.Contains(b.backends[1].bodies[0], part), qt.IsTrue, qt.Commentf("%s", part))
	}
	checkInvariants(c, b, r, w)
}

func TestMoveCopiesKVCacheOfLongPrompt(t *testing.T) {
	scenarios := []struct {
		name   string
		tokens int
		err    error
		copies []string
	}{
		{"long prompt", 640, nil, []string{"request-1: runner-1 to runner-2"}},
		{"copy fails", 640, &dispatch.MovedError{}, []string{"request-1: runner-1 to runner-2"}},
		{"prompt shorter than a block", 63, nil, nil},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			b := newTestbed(t, behaviour{fault: "silent", late: true}, behaviour{})
			b.mover.err = s.err
			w := &fakeWriter{}
			w.onChunk = func(count int) {
				if count == 1+faultTokens {
					c.Check(b.MoveStreams("runner-1"), qt.Equals, 1)
				}
			}
			r := chat(b.clock.Now())
			r.ID, r.PromptTokens = "request-1", s.tokens

			result := b.Do(context.Background(), r, w)

			c.Assert(result.Outcome, qt.Equals, request.Answered)
			c.Assert(b.mover.copies, qt.DeepEquals, s.copies)
			checkInvariants(c, b, r, w)
		})
	}
}

func TestMoveWithoutAlternativeKeepsStream(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, behaviour{fault: "slow", late: true})
	w := &fakeWriter{}
	r := chat(b.clock.Now())
	go func() {
		<-b.backends[0].hung
		c.Check(b.MoveStreams("runner-1"), qt.Equals, 0)
		close(b.backends[0].release)
	}()

	b.Do(context.Background(), r, w)

	checkInvariants(c, b, r, w)
	c.Assert(b.requests(), qt.Equals, 1)
}

func TestCrashingRequestIsRefusedAfterTwoCrashes(t *testing.T) {
	c := qt.New(t)
	crash := behaviour{fault: "closed"}
	b := newTestbed(t, crash, crash, crash)
	var reported []suspect.Entry
	b.onSuspect = func(entry suspect.Entry) { reported = append(reported, entry) }

	for range 2 {
		result := b.Do(context.Background(), chat(b.clock.Now()), &fakeWriter{})

		var refused *dispatch.SuspectError
		c.Assert(errors.As(result.Problem, &refused), qt.IsTrue)
		c.Assert(result.RetryAfter, qt.Equals, time.Duration(0))
	}

	c.Assert(b.requests(), qt.Equals, suspect.Threshold)
	c.Assert(reported, qt.HasLen, suspect.Threshold)
}

func TestBusyEnginesAreRetriedUpToMaxAttempts(t *testing.T) {
	c := qt.New(t)
	busy := behaviour{fault: "busy"}
	b := newTestbed(t, busy, busy, busy, busy, busy)

	result := b.Do(context.Background(), chat(b.clock.Now()), &fakeWriter{})

	c.Assert(result.Outcome, qt.Equals, request.Unknown)
	c.Assert(result.RetryAfter, qt.Equals, 7*time.Second)
	c.Assert(b.requests(), qt.Equals, dispatch.DefaultOptions().MaxAttempts)
}

func TestSlowCallerDoesNotTimeOutBackend(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, behaviour{fault: "slow", late: true}, behaviour{})
	w := &fakeWriter{}
	w.onChunk = func(count int) {
		if count == 1+faultTokens {
			b.clock.Advance(time.Minute)
			close(b.backends[0].release)
		}
	}
	r := chat(b.clock.Now()).WithDeadline(b.clock.Now().Add(time.Hour))

	b.Do(context.Background(), r, w)

	checkInvariants(c, b, r, w)
	c.Assert(b.requests(), qt.Equals, 1)
}

func TestUncollectableStreamFallsBackToNonStreaming(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, behaviour{fault: "opaque"})
	w := &fakeWriter{}

	result := b.Do(context.Background(), nonStreamingChat(b.clock.Now()), w)

	c.Assert(result.Problem, qt.IsNil)
	c.Assert(w.chunks, qt.DeepEquals, []string{serviceBody})
	c.Assert(strings.Contains(b.backends[0].bodies[1], "stream"), qt.IsFalse)
}

func TestSilentBackendIsRetriedWithinDeadline(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, behaviour{fault: "silent"}, behaviour{})
	w := &fakeWriter{}
	r := placement(b.clock.Now()).WithIdempotent(true)
	go func() {
		<-b.backends[0].hung
		b.clock.Advance(2 * time.Second)
	}()

	result := b.Do(context.Background(), r, w)

	c.Assert(result.Outcome, qt.Equals, request.Answered)
	checkInvariants(c, b, r, w)
}
