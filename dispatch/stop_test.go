package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// TestEndOfTheStopIsNotTakenForTheCaller guards against a stop that tells callers that are
// still connected that they have gone, and that a retry does not help.
func TestEndOfTheStopIsNotTakenForTheCaller(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, behaviour{fault: "slow"})
	ctx, stop := context.WithCancelCause(context.Background())
	results := make(chan dispatch.Result, 1)
	go func() { results <- b.Do(ctx, placement(b.clock.Now()), &fakeWriter{}) }()
	<-b.backends[0].hung

	stop(&callerserver.StoppedError{})

	result := <-results
	close(b.backends[0].release)
	c.Check(result.Status, qt.Not(qt.Equals), dispatch.StatusClientClosedRequest)
}

// TestStopOfUnwrittenRequestIsTold guards against a stop that tells a caller that its deadline
// has passed, although nothing was written and another daemon takes the request.
func TestStopOfUnwrittenRequestIsTold(t *testing.T) {
	for _, r := range []request.Request{placement(time.Unix(1_000_000, 0)), chat(time.Unix(1_000_000, 0))} {
		c := qt.New(t)
		b := newTestbed(t, behaviour{})
		b.chooser.targets[0].Address = newUnreachable(c)
		ctx, stop := context.WithCancelCause(context.Background())
		results := make(chan dispatch.Result, 1)
		go func() { results <- b.Do(ctx, r, &fakeWriter{}) }()
		c.Assert(b.clock.BlockUntilContext(ctx, timersOfSilentAttempt), qt.IsNil)

		stop(&callerserver.StoppedError{})

		result := <-results
		c.Check(result.Outcome, qt.Equals, request.NotRun)
		c.Check(result.Status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("problem: %v", result.Problem))
	}
}

// TestStopDuringRelayPromisesNothing guards against a stop that says "not run" of a request that
// another daemon may run.
func TestStopDuringRelayPromisesNothing(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, behaviour{})
	waiting := make(chan struct{})
	b.Relayer = waitingRelayer{waiting: waiting}
	b.claimer.claims["key"] = claim.Claim{Key: "key", Daemon: "entry-2"}
	ctx, stop := context.WithCancelCause(context.Background())
	results := make(chan dispatch.Result, 1)
	go func() { results <- b.Do(ctx, placement(b.clock.Now()).WithKey("key"), &fakeWriter{}) }()
	<-waiting

	stop(&callerserver.StoppedError{})

	result := <-results
	c.Check(result.Outcome, qt.Equals, request.Unknown)
	c.Check(promises, qt.Not(qt.Contains), result.Status)
}

// TestStopOfWrittenRequestPromisesNothing guards against a stop that says "not run" of a request
// that a backend server has got.
func TestStopOfWrittenRequestPromisesNothing(t *testing.T) {
	for _, row := range shapes {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			b := newTestbed(t, behaviour{fault: "slow"})
			ctx, stop := context.WithCancelCause(context.Background())
			r := row.make(b.clock.Now())
			go func() {
				<-b.backends[0].hung
				stop(&callerserver.StoppedError{})
				// A request with a claim goes on until its deadline.
				b.clock.Advance(r.Deadline.Sub(b.clock.Now()))
				close(b.backends[0].release)
			}()

			result := b.Do(ctx, r, &fakeWriter{})

			if result.Outcome == request.Answered {
				return
			}
			c.Check(result.Outcome, qt.Equals, request.Unknown)
			c.Check(promises, qt.Not(qt.Contains), result.Status)
		})
	}
}

// waitingRelayer waits until the context ends.
type waitingRelayer struct {
	waiting chan struct{}
}

func (w waitingRelayer) Relay(ctx context.Context, _ claim.Claim) (answer.Answer, error) {
	close(w.waiting)
	<-ctx.Done()
	return answer.Answer{}, ctx.Err()
}
