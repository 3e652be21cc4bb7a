package dispatch_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// slowRelayer gets the answer of the holder of a key at once and returns it only on release.
type slowRelayer struct {
	answers *answer.Store
	fetched chan struct{}
	release chan struct{}
}

func (s *slowRelayer) Relay(ctx context.Context, winner claim.Claim) (answer.Answer, error) {
	got, err := s.answers.Wait(ctx, winner.Key)
	close(s.fetched)
	<-s.release
	return got, err
}

// TestRelayedNotRunIsNoProof guards against a caller that is told "not run" by a daemon that
// has asked the holder of the key, after that one has released it and a third daemon has run
// the request.
func TestRelayedNotRunIsNoProof(t *testing.T) {
	c := qt.New(t)
	holder, asker, third := newTestbed(t), newDaemonTestbed(t, "entry-2"), newDaemonTestbed(t, "entry-3", behaviour{})
	asker.claimer.fakeClaimLog, third.claimer.fakeClaimLog = holder.claimer.fakeClaimLog, holder.claimer.fakeClaimLog
	relayer := &slowRelayer{answers: holder.answers, fetched: make(chan struct{}), release: make(chan struct{})}
	asker.Relayer = relayer
	r := placement(time.Unix(1_000_000, 0)).WithKey("key")
	told := make(chan dispatch.Result, 1)
	// The holder has won the claim and given up. It releases the claim once Finish returns.
	w := &fakeWriter{onFinish: func() {
		go func() { told <- asker.Do(context.Background(), r, &fakeWriter{}) }()
		<-relayer.fetched
	}}
	c.Assert(holder.Do(context.Background(), r, w).Outcome, qt.Equals, request.NotRun)
	c.Assert(third.Do(context.Background(), r, &fakeWriter{}).Outcome, qt.Equals, request.Answered)
	c.Assert(third.requests(), qt.Equals, 1)

	close(relayer.release)

	result := <-told
	c.Check(result.Outcome, qt.Equals, request.Unknown)
	c.Check(result.RetryAfter > 0, qt.IsTrue)
}
