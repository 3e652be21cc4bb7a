package ledger_test

import (
	"context"
	"errors"
	"runtime"
	"testing"

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

// claimFault is a fault that meets a claim of daemon one.
type claimFault struct {
	name      string
	appends   []effect
	caller    step
	readsDown bool
	// oneErr is what one's caller gets; nil when it wins.
	oneErr any
	// twoWins says whether two gets the key in the end.
	twoWins bool
}

var claimFaults = []claimFault{
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
}

// TestFaultAtEveryStepOfClaim breaks the appends of daemon one, lets its
// caller wait, give up or die with the daemon after the first of them, mends
// the log and lets daemon two claim the same key. At most one of them ever
// has the right to write.
func TestFaultAtEveryStepOfClaim(t *testing.T) {
	for _, scenario := range claimFaults {
		t.Run(scenario.name, func(t *testing.T) { scenario.run(newBench(t)) })
	}
}

func (f claimFault) run(b *bench) {
	one, kill := b.daemon("one")
	two, _ := b.daemon("two")
	b.log.with(func(log *fakeLog) { log.appends, log.readsDown = f.appends, f.readsDown })

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers := claimLater(ctx, one)
	<-b.log.tried
	var first answer
	live := 2
	switch f.caller {
	case givesUp:
		cancel()
		first = <-answers
	case isKilled:
		kill()
		first = <-answers
		live = 1
	}
	b.log.with(func(log *fakeLog) { log.readsDown = false })
	b.pump(live)
	if f.caller == waits {
		first = <-answers
	}
	b.log.with(func(log *fakeLog) { log.appends = nil })
	f.check(b, first, two)
}

// check compares what one's caller got, and lets two claim the key.
func (f claimFault) check(b *bench, first answer, two *ledger.Ledger) {
	if f.oneErr == nil {
		b.Assert(first.err, qt.IsNil)
	} else {
		b.Assert(errors.As(first.err, f.oneErr), qt.IsTrue, qt.Commentf("%v", first.err))
	}
	isDead := func(winner claim.Claim) bool {
		return winner.Daemon == "one" && (first.verdict.Won || f.caller == isKilled)
	}
	second := b.claimUntilSettled(two, isDead)
	b.Assert(second.Won, qt.Equals, f.twoWins)
	b.Assert(first.verdict.Won && second.Won, qt.IsFalse)
}
