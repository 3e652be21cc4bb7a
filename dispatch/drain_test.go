package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
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

func TestDrainRefusesNewRequestsAndWaits(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(t, behaviour{fault: "slow"})
	ended := make(chan dispatch.Result, 1)
	go func() { ended <- b.Do(context.Background(), chat(b.clock.Now()), &fakeWriter{}) }()
	<-b.backends[0].hung

	b.Drain()

	refused := b.Do(context.Background(), chat(b.clock.Now()), &fakeWriter{})
	c.Assert(refused.Outcome, qt.Equals, request.NotRun)
	c.Assert(refused.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(b.InFlight(), qt.Equals, 1)
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(b.Wait(stopped), qt.ErrorMatches, "1 requests have not ended")
	close(b.backends[0].release)
	c.Assert((<-ended).Outcome, qt.Equals, request.Answered)
	<-b.Done()
}
