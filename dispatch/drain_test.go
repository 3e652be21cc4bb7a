package dispatch_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/request"
)

// TestStopTakesNoRequestThatMayOutlastIt guards against requests that arrive late in a planned
// stop, are passed on, and are cut at its end.
func TestStopTakesNoRequestThatMayOutlastIt(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, behaviour{})
	now := b.clock.Now()
	b.DrainBy(now.Add(time.Minute))
	for deadline, outcome := range map[time.Time]request.Outcome{
		now.Add(time.Minute):     request.Answered,
		now.Add(2 * time.Minute): request.NotRun,
		{}:                       request.NotRun,
	} {
		got := b.Do(context.Background(), chat(now).WithDeadline(deadline), &fakeWriter{})
		c.Check(got.Outcome, qt.Equals, outcome, qt.Commentf("deadline %v", deadline))
	}
}
