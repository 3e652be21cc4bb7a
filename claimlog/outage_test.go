package claimlog_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/claimlog"
)

// A winner that is paused for less than the lifetime of its key keeps it.
func TestPausedWinnerKeepsKey(t *testing.T) {
	b := newHarness(t)
	one, _ := b.startDaemon("one")
	two, _ := b.startDaemon("two")
	won, err := one.Claim(context.Background(), key, 7)
	b.Assert(err, qt.IsNil)
	b.Assert(won.Won, qt.IsTrue)

	b.clock.Advance(23 * time.Hour)
	lost, err := two.Claim(context.Background(), key, 7)
	b.Assert(err, qt.IsNil)
	b.Assert(lost.Winner.IsSame(won.Claim), qt.IsTrue)
}

// Claims that are in the log before anybody reads them have one winner, also
// when two daemons use the same claim number or both callers belong to one
// daemon.
func TestConcurrentClaimsHaveOneWinner(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		second int
	}{
		{"of one daemon", 0},
		{"of two daemons", 1},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			b := newHarness(t)
			one, _ := b.startDaemon("one")
			two, _ := b.startDaemon("two")
			b.log.update(func(f *fakeLog) { f.readsBlocked = true })
			first := claimAsync(context.Background(), one)
			<-b.log.attempts
			second := claimAsync(context.Background(), []*claimlog.Claimer{one, two}[scenario.second])
			<-b.log.attempts
			b.log.update(func(f *fakeLog) { f.readsBlocked = false })

			won, lost := <-first, <-second
			b.Assert(won.err, qt.IsNil)
			b.Assert(lost.err, qt.IsNil)
			b.Assert(won.result.Won, qt.IsTrue)
			b.Assert(lost.result.Won, qt.IsFalse)
			b.Assert(lost.result.Winner.IsSame(won.result.Claim), qt.IsTrue)
		})
	}
}

// A record whose append got no response, but which the reader has seen, is not
// appended a second time.
func TestSeenRecordIsNotAppendedAgain(t *testing.T) {
	b := newHarness(t)
	one, _ := b.startDaemon("one")
	b.log.update(func(f *fakeLog) { f.appends = []effect{hangs} })
	won, err := one.Claim(context.Background(), key, 7)
	b.Assert(err, qt.IsNil)
	b.Assert(won.Won, qt.IsTrue)

	b.advanceWaits(1)
	_, err = one.Claim(context.Background(), claim.NewKey("c", "s", "2"), 7)
	b.Assert(err, qt.IsNil)
	b.log.update(func(f *fakeLog) { b.Assert(f.records, qt.HasLen, 2) })
}

// Records that were removed unread and may be younger than a lifetime keep the
// claimer from claiming until that lifetime has passed.
func TestTrimmedUnreadRecordsBlockClaims(t *testing.T) {
	b := newHarness(t)
	one, _ := b.startDaemon("one")
	two, _ := b.startDaemon("two")
	won, err := one.Claim(context.Background(), key, 7)
	b.Assert(err, qt.IsNil)
	b.Assert(won.Won, qt.IsTrue)
	_, err = two.Claim(context.Background(), claim.NewKey("c", "s", "2"), 7)
	b.Assert(err, qt.IsNil)

	b.log.update(func(f *fakeLog) { f.records, f.first = nil, 9 })
	b.waitUntilNotReady(one)
	b.waitUntilNotReady(two)

	_, err = two.Claim(context.Background(), key, 7)
	var missed *claimlog.HistoryGapError
	b.Assert(errors.As(err, &missed), qt.IsTrue)
	b.Assert(*missed, qt.Equals, claimlog.HistoryGapError{From: 2, First: 9})

	b.clock.Advance(25 * time.Hour)
	again, err := two.Claim(context.Background(), key, 7)
	b.Assert(err, qt.IsNil)
	b.Assert(again.Won, qt.IsTrue)
}

// waitUntilNotReady waits until a claimer has noticed that it missed records.
func (b *harness) waitUntilNotReady(claimer *claimlog.Claimer) {
	for claimer.Check() == nil {
		b.log.update(func(*fakeLog) {})
	}
}

// A stopping daemon leaves no abandoned claim behind.
func TestDrainWaitsForReleases(t *testing.T) {
	b := newHarness(t)
	one, _ := b.startDaemon("one")
	b.log.update(func(f *fakeLog) { f.appends = []effect{losesResponse} })
	ctx, cancel := context.WithCancel(context.Background())
	b.log.update(func(f *fakeLog) { f.readsBlocked = true })
	results := claimAsync(ctx, one)
	<-b.log.attempts
	cancel()
	b.Assert((<-results).err, qt.ErrorMatches, ".*is not settled.*")
	b.log.update(func(f *fakeLog) { f.readsBlocked = false })

	b.advanceWaits(1)
	b.Assert(one.Drain(context.Background()), qt.IsNil)
	_, held := one.Lookup(key)
	b.Assert(held, qt.IsFalse)
}

// When the log does not respond, the first claim waits for the append timeout
// and the next ones fail immediately.
func TestUnresponsiveLogFailsNextClaimImmediately(t *testing.T) {
	b := newHarness(t)
	one, _ := b.startDaemon("one")
	b.log.update(func(f *fakeLog) { f.defaultEffect, f.readsBlocked = hangs, true })
	ctx, cancel := context.WithCancel(context.Background())
	results := claimAsync(ctx, one)
	<-b.log.attempts
	b.Assert(b.clock.BlockUntilContext(ctx, 2), qt.IsNil)
	b.clock.Advance(claimlog.DefaultOptions().AppendTimeout)
	b.Assert(b.clock.BlockUntilContext(ctx, 2), qt.IsNil)

	_, err := one.Claim(ctx, claim.NewKey("c", "s", "2"), 7)
	var unavailable *claimlog.UnavailableError
	b.Assert(errors.As(err, &unavailable), qt.IsTrue)
	cancel()
	b.Assert((<-results).err, qt.ErrorMatches, ".*is not settled.*")
}

// A claim whose record was removed unread is dropped once a later record shows
// that no duplicate of it can take effect.
func TestDrainDropsTrimmedClaims(t *testing.T) {
	b := newHarness(t)
	one, _ := b.startDaemon("one")
	b.log.update(func(f *fakeLog) { f.readsBlocked = true })
	results := claimAsync(context.Background(), one)
	<-b.log.attempts
	b.log.update(func(f *fakeLog) { f.records, f.first, f.readsBlocked = nil, 1, false })
	b.Assert((<-results).err, qt.ErrorMatches, ".*is not settled.*")

	_, err := one.Claim(context.Background(), claim.NewKey("c", "s", "2"), 7)
	b.Assert(err, qt.IsNil)
	b.Assert(one.Drain(context.Background()), qt.IsNil)
}
