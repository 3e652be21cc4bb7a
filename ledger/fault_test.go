package ledger_test

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/ledger"
)

// answer is what Claim returned.
type answer struct {
	verdict ledger.Verdict
	err     error
}

// claimLater claims in another goroutine.
func claimLater(ctx context.Context, l *ledger.Ledger) <-chan answer {
	answers := make(chan answer, 1)
	go func() {
		verdict, err := l.Claim(ctx, key, 7)
		answers <- answer{verdict, err}
	}()
	return answers
}

// pump ends every wait of an appender from now on. Each reader of a live
// daemon holds one timer all the time, so one more is an appender's.
func (b *bench) pump(live int) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for b.clock.BlockUntilContext(ctx, live+1) == nil {
			b.clock.Advance(ledger.DefaultOptions().RetryMax)
		}
	}()
	b.Cleanup(func() {
		cancel()
		<-ended
	})
}

// claimUntilSettled claims until another live daemon's right or the own one
// is certain: an abandoned claim blocks the key until its release is read.
func (b *bench) claimUntilSettled(l *ledger.Ledger, isDead func(claim.Claim) bool) ledger.Verdict {
	for {
		verdict, err := l.Claim(context.Background(), key, 7)
		b.Assert(err, qt.IsNil)
		if verdict.Won || isDead(verdict.Winner) {
			return verdict
		}
		runtime.Gosched()
	}
}

type step int

const (
	waits step = iota
	givesUp
	isKilled
)

// TestFaultAtEveryStepOfClaim breaks the appends of daemon one, lets its
// caller wait, give up or die with the daemon after the first of them, mends
// the log and lets daemon two claim the same key. At most one of them ever
// has the right to write.
func TestFaultAtEveryStepOfClaim(t *testing.T) {
	for _, scenario := range []struct {
		name      string
		appends   []effect
		caller    step
		readsDown bool
		// oneErr is what one's caller gets; nil when it wins.
		oneErr any
		// twoWins says whether two gets the key in the end.
		twoWins bool
	}{
		{"refused once", []effect{refuses}, waits, false, nil, false},
		{"throttled once", []effect{throttles}, waits, false, nil, false},
		{"refused for long", []effect{refuses, refuses, refuses}, waits, false, new(*ledger.UnavailableError), true},
		{"lost without effect", []effect{losesRequest}, waits, false, nil, false},
		{"lost without effect twice", []effect{losesRequest, losesRequest}, waits, false, nil, false},
		{"lost without effect, then refused", []effect{losesRequest, refuses, refuses, refuses, refuses}, waits, false, nil, false},
		{"lost with effect", []effect{losesAnswer}, waits, false, nil, false},
		{"lost with effect thrice", []effect{losesAnswer, losesAnswer, losesAnswer}, waits, false, nil, false},
		{"lost with effect, then refused", []effect{losesAnswer, refuses, refuses, refuses, refuses}, waits, false, nil, false},
		{"lost with effect, reads down", []effect{losesAnswer}, waits, true, nil, false},
		{"silent with effect", []effect{hangs}, waits, false, nil, false},
		{"silent with effect, reads silent", []effect{hangs, hangs}, waits, true, nil, false},
		{"given up when refused", []effect{refuses}, givesUp, false, new(*ledger.UncertainError), true},
		{"given up, lost without effect", []effect{losesRequest}, givesUp, false, new(*ledger.UncertainError), true},
		{"given up, lost with effect", []effect{losesAnswer, losesAnswer}, givesUp, true, new(*ledger.UncertainError), true},
		{"given up, reads down", []effect{works}, givesUp, true, new(*ledger.UncertainError), true},
		{"killed when refused", []effect{refuses}, isKilled, false, new(*ledger.UncertainError), true},
		{"killed, lost without effect", []effect{losesRequest}, isKilled, false, new(*ledger.UncertainError), true},
		{"killed, lost with effect", []effect{losesAnswer}, isKilled, true, new(*ledger.UncertainError), false},
		{"killed after append", []effect{works}, isKilled, true, new(*ledger.UncertainError), false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			b := newBench(t)
			one, kill := b.daemon("one")
			two, _ := b.daemon("two")
			b.log.with(func(f *fakeLog) { f.appends, f.readsDown = scenario.appends, scenario.readsDown })

			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			answers := claimLater(ctx, one)
			<-b.log.tried
			var first answer
			live := 2
			switch scenario.caller {
			case givesUp:
				cancel()
				first = <-answers
			case isKilled:
				kill()
				first = <-answers
				live = 1
			}
			b.log.with(func(f *fakeLog) { f.readsDown = false })
			b.pump(live)
			if scenario.caller == waits {
				first = <-answers
			}
			b.log.with(func(f *fakeLog) { f.appends = nil })

			if scenario.oneErr == nil {
				b.Assert(first.err, qt.IsNil)
			} else {
				b.Assert(errors.As(first.err, scenario.oneErr), qt.IsTrue, qt.Commentf("%v", first.err))
			}
			isDead := func(winner claim.Claim) bool {
				return winner.Daemon == "one" && (first.verdict.Won || scenario.caller == isKilled)
			}
			second := b.claimUntilSettled(two, isDead)
			b.Assert(second.Won, qt.Equals, scenario.twoWins)
			b.Assert(first.verdict.Won && second.Won, qt.IsFalse)
		})
	}
}

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
