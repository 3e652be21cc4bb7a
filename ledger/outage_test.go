package ledger_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/ledger"
)

// A winner that is paused for less than the lifetime of its key keeps it.
func TestPausedHolderKeepsKey(t *testing.T) {
	b := newBench(t)
	one, _ := b.daemon("one")
	two, _ := b.daemon("two")
	won, err := one.Claim(context.Background(), key, 7)
	b.Assert(err, qt.IsNil)
	b.Assert(won.Won, qt.IsTrue)

	b.clock.Advance(23 * time.Hour)
	lost, err := two.Claim(context.Background(), key, 7)
	b.Assert(err, qt.IsNil)
	b.Assert(lost.Winner.IsSame(won.Claim), qt.IsTrue)
}

// Claims that are in the log before anybody reads them have one winner, also
// when two daemons number theirs alike or one daemon has both callers.
func TestRacingCallersHaveOneWinner(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		second int
	}{
		{"of one daemon", 0},
		{"of two daemons", 1},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			b := newBench(t)
			one, _ := b.daemon("one")
			two, _ := b.daemon("two")
			b.log.with(func(f *fakeLog) { f.readsDown = true })
			first := claimLater(context.Background(), one)
			<-b.log.tried
			second := claimLater(context.Background(), []*ledger.Ledger{one, two}[scenario.second])
			<-b.log.tried
			b.log.with(func(f *fakeLog) { f.readsDown = false })

			won, lost := <-first, <-second
			b.Assert(won.err, qt.IsNil)
			b.Assert(lost.err, qt.IsNil)
			b.Assert(won.verdict.Won, qt.IsTrue)
			b.Assert(lost.verdict.Won, qt.IsFalse)
			b.Assert(lost.verdict.Winner.IsSame(won.verdict.Claim), qt.IsTrue)
		})
	}
}

// A record whose append has no answer, but which the reader has seen, is not
// appended a second time.
func TestSeenRecordIsNotAppendedAgain(t *testing.T) {
	b := newBench(t)
	one, _ := b.daemon("one")
	b.log.with(func(f *fakeLog) { f.appends = []effect{hangs} })
	won, err := one.Claim(context.Background(), key, 7)
	b.Assert(err, qt.IsNil)
	b.Assert(won.Won, qt.IsTrue)

	b.pump(1)
	_, err = one.Claim(context.Background(), claim.NewKey("c", "s", "2"), 7)
	b.Assert(err, qt.IsNil)
	b.log.with(func(f *fakeLog) { b.Assert(f.records, qt.HasLen, 2) })
}

// Records that were removed unread and may be younger than a lifetime keep
// the ledger from claiming until they are over.
func TestMissedRecordsStopClaims(t *testing.T) {
	b := newBench(t)
	one, _ := b.daemon("one")
	two, _ := b.daemon("two")
	won, err := one.Claim(context.Background(), key, 7)
	b.Assert(err, qt.IsNil)
	b.Assert(won.Won, qt.IsTrue)
	_, err = two.Claim(context.Background(), claim.NewKey("c", "s", "2"), 7)
	b.Assert(err, qt.IsNil)

	b.log.with(func(f *fakeLog) { f.records, f.first = nil, 9 })
	b.untilNotReady(one)
	b.untilNotReady(two)

	_, err = two.Claim(context.Background(), key, 7)
	var missed *ledger.HistoryError
	b.Assert(errors.As(err, &missed), qt.IsTrue)
	b.Assert(*missed, qt.Equals, ledger.HistoryError{From: 2, First: 9})

	b.clock.Advance(25 * time.Hour)
	again, err := two.Claim(context.Background(), key, 7)
	b.Assert(err, qt.IsNil)
	b.Assert(again.Won, qt.IsTrue)
}

// untilNotReady waits until a ledger has noticed that it missed records.
func (b *bench) untilNotReady(l *ledger.Ledger) {
	for l.Check() == nil {
		b.log.with(func(*fakeLog) {})
	}
}

// A stopping daemon leaves no abandoned claim behind.
func TestSettleWaitsForReleases(t *testing.T) {
	b := newBench(t)
	one, _ := b.daemon("one")
	b.log.with(func(f *fakeLog) { f.appends = []effect{losesAnswer} })
	ctx, cancel := context.WithCancel(context.Background())
	b.log.with(func(f *fakeLog) { f.readsDown = true })
	answers := claimLater(ctx, one)
	<-b.log.tried
	cancel()
	b.Assert((<-answers).err, qt.ErrorMatches, ".*is not settled.*")
	b.log.with(func(f *fakeLog) { f.readsDown = false })

	b.pump(1)
	b.Assert(one.Settle(context.Background()), qt.IsNil)
	_, held := one.Look(key)
	b.Assert(held, qt.IsFalse)
}

// A log that stays silent for the append timeout costs the first claim that
// wait, and the next ones none.
func TestSilentLogRefusesNextClaimAtOnce(t *testing.T) {
	b := newBench(t)
	one, _ := b.daemon("one")
	b.log.with(func(f *fakeLog) { f.rest, f.readsDown = hangs, true })
	ctx, cancel := context.WithCancel(context.Background())
	answers := claimLater(ctx, one)
	<-b.log.tried
	b.Assert(b.clock.BlockUntilContext(ctx, 2), qt.IsNil)
	b.clock.Advance(ledger.DefaultOptions().AppendTimeout)
	b.Assert(b.clock.BlockUntilContext(ctx, 2), qt.IsNil)

	_, err := one.Claim(ctx, claim.NewKey("c", "s", "2"), 7)
	var unavailable *ledger.UnavailableError
	b.Assert(errors.As(err, &unavailable), qt.IsTrue)
	cancel()
	b.Assert((<-answers).err, qt.ErrorMatches, ".*is not settled.*")
}

// A claim whose record was removed unread is forgotten once a later record
// shows that no copy of it can take effect.
func TestSettleForgetsMissedClaims(t *testing.T) {
	b := newBench(t)
	one, _ := b.daemon("one")
	b.log.with(func(f *fakeLog) { f.readsDown = true })
	answers := claimLater(context.Background(), one)
	<-b.log.tried
	b.log.with(func(f *fakeLog) { f.records, f.first, f.readsDown = nil, 1, false })
	b.Assert((<-answers).err, qt.ErrorMatches, ".*is not settled.*")

	_, err := one.Claim(context.Background(), claim.NewKey("c", "s", "2"), 7)
	b.Assert(err, qt.IsNil)
	b.Assert(one.Settle(context.Background()), qt.IsNil)
}
