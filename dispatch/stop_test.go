package dispatch_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
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
