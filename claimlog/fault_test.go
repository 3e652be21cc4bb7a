package claimlog_test

import (
	"context"
	"errors"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/claimlog"
)

// claimResult is what Claim returned.
type claimResult struct {
	result claimlog.Result
	err    error
}

// claimAsync claims in another goroutine.
func claimAsync(ctx context.Context, claimer *claimlog.Claimer) <-chan claimResult {
	results := make(chan claimResult, 1)
	go func() {
		result, err := claimer.Claim(ctx, key, 7)
		results <- claimResult{result, err}
	}()
	return results
}

// advanceWaits advances the clock whenever an appender waits, until the test
// ends. The reader of each live daemon has one timer at all times, so one more
// timer belongs to an appender.
func (b *harness) advanceWaits(live int) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for b.clock.BlockUntilContext(ctx, live+1) == nil {
			b.clock.Advance(claimlog.DefaultOptions().RetryMax)
		}
	}()
	b.Cleanup(func() {
		cancel()
		<-ended
	})
}

// claimUntilSettled repeats the claim until it wins or loses to a claim that will
// not be released: an abandoned claim blocks the key until its release is read.
func (b *harness) claimUntilSettled(claimer *claimlog.Claimer, isPermanent func(claim.Claim) bool) claimlog.Result {
	for {
		result, err := claimer.Claim(context.Background(), key, 7)
		b.Assert(err, qt.IsNil)
		if result.Won || isPermanent(result.Winner) {
			return result
		}
		runtime.Gosched()
	}
}

type callerAction int

const (
	waits callerAction = iota
	givesUp
	isKilled
)

// claimFault is a fault during a claim of daemon one.
type claimFault struct {
	name         string
	appends      []effect
	caller       callerAction
	readsBlocked bool
	// oneErr is the type of the error that the caller of daemon one gets; nil when
	// the claim wins.
	oneErr any
	// twoWins is true when daemon two wins the key in the end.
	twoWins bool
}

var claimFaults = []claimFault{
	{"refused once", []effect{refuses}, waits, false, nil, false},
	{"throttled once", []effect{throttles}, waits, false, nil, false},
	{"refused repeatedly", []effect{refuses, refuses, refuses}, waits, false, new(*claimlog.UnavailableError), true},
	{"request lost", []effect{losesRequest}, waits, false, nil, false},
	{"request lost twice", []effect{losesRequest, losesRequest}, waits, false, nil, false},
	{"request lost, then refused", []effect{losesRequest, refuses, refuses, refuses, refuses}, waits, false, nil, false},
	{"response lost", []effect{losesResponse}, waits, false, nil, false},
	{"response lost three times", []effect{losesResponse, losesResponse, losesResponse}, waits, false, nil, false},
	{"response lost, then refused", []effect{losesResponse, refuses, refuses, refuses, refuses}, waits, false, nil, false},
	{"response lost, reads blocked", []effect{losesResponse}, waits, true, nil, false},
	{"appended without response", []effect{hangs}, waits, false, nil, false},
	{"appended without response, reads blocked", []effect{hangs, hangs}, waits, true, nil, false},
	{"caller gives up, refused", []effect{refuses}, givesUp, false, new(*claimlog.UncertainError), true},
	{"caller gives up, request lost", []effect{losesRequest}, givesUp, false, new(*claimlog.UncertainError), true},
	{"caller gives up, response lost", []effect{losesResponse, losesResponse}, givesUp, true, new(*claimlog.UncertainError), true},
	{"caller gives up, reads blocked", []effect{works}, givesUp, true, new(*claimlog.UncertainError), true},
	{"daemon killed, refused", []effect{refuses}, isKilled, false, new(*claimlog.UncertainError), true},
	{"daemon killed, request lost", []effect{losesRequest}, isKilled, false, new(*claimlog.UncertainError), true},
	{"daemon killed, response lost", []effect{losesResponse}, isKilled, true, new(*claimlog.UncertainError), false},
	{"daemon killed after append", []effect{works}, isKilled, true, new(*claimlog.UncertainError), false},
}

// TestFaultAtEveryStepOfClaim makes the appends of daemon one fail. Its caller
// waits, gives up or dies with the daemon after the first append. Then the log
// recovers and daemon two claims the same key. At most one of them may ever
// have the right to write.
func TestFaultAtEveryStepOfClaim(t *testing.T) {
	for _, scenario := range claimFaults {
		t.Run(scenario.name, func(t *testing.T) { scenario.run(newHarness(t)) })
	}
}

func (f claimFault) run(b *harness) {
	one, kill := b.startDaemon("one")
	two, _ := b.startDaemon("two")
	b.log.update(func(log *fakeLog) { log.appends, log.readsBlocked = f.appends, f.readsBlocked })

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results := claimAsync(ctx, one)
	<-b.log.attempts
	var first claimResult
	live := 2
	switch f.caller {
	case givesUp:
		cancel()
		first = <-results
	case isKilled:
		kill()
		first = <-results
		live = 1
	}
	b.log.update(func(log *fakeLog) { log.readsBlocked = false })
	b.advanceWaits(live)
	if f.caller == waits {
		first = <-results
	}
	b.log.update(func(log *fakeLog) { log.appends = nil })
	f.check(b, first, two)
}

// check checks the result for the caller of daemon one, and then claims the key
// from daemon two.
func (f claimFault) check(b *harness, first claimResult, two *claimlog.Claimer) {
	if f.oneErr == nil {
		b.Assert(first.err, qt.IsNil)
	} else {
		b.Assert(errors.As(first.err, f.oneErr), qt.IsTrue, qt.Commentf("%v", first.err))
	}
	isPermanent := func(winner claim.Claim) bool {
		return winner.Daemon == "one" && (first.result.Won || f.caller == isKilled)
	}
	second := b.claimUntilSettled(two, isPermanent)
	b.Assert(second.Won, qt.Equals, f.twoWins)
	b.Assert(first.result.Won && second.Won, qt.IsFalse)
}
