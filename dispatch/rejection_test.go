package dispatch_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/request"
)

// testTimeout ends a request that would wait forever. No assertion depends on it.
const testTimeout = 10 * time.Second

// TestRejectionIsNotReadToItsEnd guards against a request that waits for the body of a
// rejection, which it does not need, before it asks the next backend server.
func TestRejectionIsNotReadToItsEnd(t *testing.T) {
	for _, fault := range []string{"stalled rejection", "endless rejection"} {
		t.Run(fault, func(t *testing.T) {
			c := qt.New(t)
			b := newTestbed(t, behaviour{fault: fault}, behaviour{})
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			r := chat(b.clock.Now())
			w := &fakeWriter{}

			result := b.Do(ctx, r, w)

			c.Assert(result.Outcome, qt.Equals, request.Answered, qt.Commentf("problem: %v", result.Problem))
			checkInvariants(c, b, r, w)
		})
	}
}
