package dispatch_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/request"
)

// TestBadContinuationReplacesNoSilentServer guards against a silent backend server that is given
// up for another one that does not continue the stream.
func TestBadContinuationReplacesNoSilentServer(t *testing.T) {
	for _, row := range []shape{{"chat", chat}, {"collected chat", nonStreamingChat}} {
		for _, bad := range badContinuations {
			if bad.name == endEarly.name {
				continue // Its token is data like any other.
			}
			t.Run(row.name+"/"+bad.name, func(t *testing.T) {
				c := qt.New(t)
				b := newTestbed(c, behaviour{fault: "slow", late: true})
				b.addServer(c, bad.answer)
				r := row.make(b.clock.Now()).WithDeadline(b.clock.Now().Add(3 * silence))
				go func() {
					<-b.backends[0].hung
					for range 4 {
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
				c.Check(b.backends[0].requests, qt.Equals, 1)
				c.Check(b.chooser.began, qt.Equals, 2)
			})
		}
	}
}
