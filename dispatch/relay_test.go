package dispatch_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
)

// remoteRelayer waits until the context ends and returns its error without the cause, as
// a call to another daemon does.
type remoteRelayer struct{}

func (remoteRelayer) Relay(ctx context.Context, _ claim.Claim) (answer.Answer, error) {
	<-ctx.Done()
	return answer.Answer{}, ctx.Err()
}

// TestDeadlineDuringRelayIsReported guards against a request whose deadline passes while
// it waits for the holder of its key, and that is reported as a failure of the holder.
func TestDeadlineDuringRelayIsReported(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, behaviour{})
	b.Relayer = remoteRelayer{}
	b.claimer.claims["key"] = claim.Claim{Key: "key", Daemon: "entry-2"}
	r := placement(b.clock.Now()).WithKey("key")
	go func() {
		time.Sleep(reactionTime)
		b.clock.Advance(r.Deadline.Sub(b.clock.Now()))
	}()

	result := b.Do(context.Background(), r, &fakeWriter{})

	var late *dispatch.DeadlineError
	c.Assert(errors.As(result.Problem, &late), qt.IsTrue, qt.Commentf("problem: %v", result.Problem))
	c.Assert(result.Status, qt.Equals, http.StatusGatewayTimeout)
}
