package dispatch_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/retry"
)

const (
	// silence is longer than the silence timeout of each request in this file, and
	// shorter than the deadline.
	silence = 11 * time.Second
	// reactionTime lets the dispatcher react to a silence. A shorter one makes a test
	// less strict, and doesn't make it fail.
	reactionTime = 50 * time.Millisecond
)

// TestSilenceEndsNoRequest guards against a request that is lost because its backend
// server is silent for a while, although no other one has accepted the request.
func TestSilenceEndsNoRequest(t *testing.T) {
	busy := behaviour{fault: "busy"}
	for _, scenario := range []struct {
		name   string
		others []behaviour
		// spent is true if the retry budget is used up.
		spent bool
		// repeatable is true if the request may be sent to another backend server.
		repeatable bool
		// asked is the number of requests that the other backend servers get.
		asked int
	}{
		{"others reject", []behaviour{busy}, false, true, 1},
		{"several others reject", []behaviour{busy, busy}, false, true, 2},
		{"other repeats a rejection", []behaviour{{fault: "crossed busy"}}, false, true, 1},
		{"other is unreachable", []behaviour{{fault: "refused"}}, false, true, 0},
		{"other is silent", []behaviour{{fault: "silent"}}, false, true, 1},
		{"other fails", []behaviour{{fault: "closed"}}, false, true, 1},
		{"no other", nil, false, true, 0},
		{"no budget", []behaviour{{}}, true, true, 0},
		{"not repeatable", []behaviour{{}}, false, false, 0},
	} {
		for _, row := range []shape{{"chat", chat}, {"chat in one piece", nonStreamingChat}, {"service", placement}} {
			if !scenario.repeatable && row.name == "chat in one piece" {
				continue // The fake answers it with the body of a service.
			}
			for _, late := range []bool{false, true} {
				name := scenario.name + "/" + row.name
				if late {
					name += "/late"
				}
				t.Run(name, func(t *testing.T) {
					c := qt.New(t)
					b := newTestbed(t, append([]behaviour{{fault: "slow", late: late}}, scenario.others...)...)
					r := row.make(b.clock.Now()).WithDeadline(b.clock.Now().Add(3 * silence)).WithIdempotent(scenario.repeatable)
					if scenario.spent {
						b.Budget = retry.NewBudget(retry.BudgetOptions{Window: time.Second}, b.clock.Now())
					}
					go func() {
						<-b.backends[0].hung
						for b.clock.Since(r.Deadline.Add(-3*silence)) < 2*silence {
							time.Sleep(reactionTime)
							b.clock.Advance(silence / 2)
						}
						time.Sleep(reactionTime)
						close(b.backends[0].release)
					}()
					ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
					defer cancel()
					w := &fakeWriter{}

					result := b.Do(ctx, r, w)

					c.Assert(result.Outcome, qt.Equals, request.Answered, qt.Commentf("problem: %v", result.Problem))
					checkInvariants(c, b, r, w)
					c.Assert(b.backends[0].requests, qt.Equals, 1)
					c.Assert(b.requests()-1 <= scenario.asked, qt.IsTrue, qt.Commentf("%d requests", b.requests()))
				})
			}
		}
	}
}

// TestFirstDataWins guards against a hedge that goes on, or replaces the answer, after the
// silent backend server has delivered data.
func TestFirstDataWins(t *testing.T) {
	for _, late := range []bool{false, true} {
		c := qt.New(t)
		b := newTestbed(t, behaviour{fault: "slow", late: late}, behaviour{fault: "silent"})
		r := chat(b.clock.Now()).WithDeadline(b.clock.Now().Add(time.Hour))
		go func() {
			<-b.backends[0].hung
			time.Sleep(reactionTime)
			b.clock.Advance(silence)
			<-b.backends[1].hung
			close(b.backends[0].release)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		w := &fakeWriter{}

		result := b.Do(ctx, r, w)

		c.Assert(result.Outcome, qt.Equals, request.Answered, qt.Commentf("problem: %v", result.Problem))
		checkInvariants(c, b, r, w)
		c.Assert(result.Backend, qt.Equals, "runner-1")
		c.Assert(b.requests(), qt.Equals, 2)
	}
}

// TestCancelledHedgeIsMadeAgain guards against a hedge that is never made again because
// the silent backend server delivered data before it fell silent for good.
func TestCancelledHedgeIsMadeAgain(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, behaviour{fault: "silent again", late: true}, behaviour{fault: "silent once"})
	r := chat(b.clock.Now()).WithDeadline(b.clock.Now().Add(time.Hour))
	w := &fakeWriter{}
	delivered := make(chan struct{})
	w.onChunk = func(count int) {
		if count == 1+faultTokens+1 {
			close(delivered)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	go func() {
		<-b.backends[0].hung
		time.Sleep(reactionTime)
		b.clock.Advance(silence)
		<-b.backends[1].hung
		close(b.backends[0].release)
		<-delivered
		for ctx.Err() == nil {
			time.Sleep(reactionTime)
			b.clock.Advance(silence)
		}
	}()

	result := b.Do(ctx, r, w)

	cancel()
	c.Assert(result.Outcome, qt.Equals, request.Answered, qt.Commentf("problem: %v", result.Problem))
	checkInvariants(c, b, r, w)
	c.Assert(result.Backend, qt.Equals, "runner-2")
}
