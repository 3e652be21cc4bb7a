// Package claimlog makes claims on the platform's log and tracks their results,
// so that a request that is not idempotent runs at most once across all
// daemons.
//
// One goroutine batches claims and releases into appends; another reads the
// stream back and applies it to a claim.State. The result of a claim comes from
// the applied stream only, never from the response to its append.
package claimlog

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/ring"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Ledger claims keys for one process. Its methods are safe for use by
// several goroutines.
type Ledger struct {
	telemetry.Common
	options Options
	log     hosting.Log
	// claims queues the claims of the callers for the appender.
	claims *ring.Ring[*pendingClaim]
	// pacer is used by the appender only.
	pacer *appendPacer
	// wake signals the appender that releases are pending.
	wake chan struct{}
	// ready is closed by the reader once the stream has been read.
	ready chan struct{}
	// done is closed by Run when both goroutines have ended.
	done chan struct{}

	mu sync.Mutex
	// state is the result of the records read so far.
	state *claim.State
	// sent holds the claims for which an append has been attempted and which
	// the reader has not seen yet, by number.
	sent map[uint64]*pendingClaim
	// releases holds the releases that the state does not reflect yet, by
	// number.
	releases map[uint64]*pendingRelease
	// nextNumber is above every number sent so far.
	nextNumber uint64
	// notReady is why the ledger cannot claim, or nil.
	notReady error
	// notReadyUntil is when the ledger accepts claims again; zero when that does
	// not depend on the time.
	notReadyUntil time.Time
	// outage is why claims are refused without an append, or nil.
	outage error
	// outageUntil is when the next claim may try the log again; zero while the
	// appender is retrying.
	outageUntil time.Time
	// refusals counts the consecutive records that the log has refused.
	refusals int
}

// New returns a ledger that does nothing before Run.
func New(common telemetry.Common, log hosting.Log, options Options) *Ledger {
	return &Ledger{
		Common:     common,
		options:    options,
		log:        log,
		claims:     ring.New[*pendingClaim]("Claims", options.QueueCapacity),
		pacer:      newAppendPacer(options.FlushInterval, options.MaxFlushInterval),
		wake:       make(chan struct{}, 1),
		ready:      make(chan struct{}),
		done:       make(chan struct{}),
		state:      claim.NewState(options.ClaimOptions, 0),
		sent:       make(map[uint64]*pendingClaim),
		releases:   make(map[uint64]*pendingRelease),
		nextNumber: 1,
		notReady:   &NotReadyError{},
	}
}

// Run appends and reads until ctx ends. It is called once.
func (l *Ledger) Run(ctx context.Context) {
	defer close(l.done)
	var goroutines sync.WaitGroup
	goroutines.Go(func() { l.runAppender(ctx) })
	goroutines.Go(func() { l.runReader(ctx) })
	goroutines.Wait()
}

// Done is closed when Run has returned.
func (l *Ledger) Done() <-chan struct{} { return l.done }

// Ready is closed once the stream has been read up to the end that the log
// reported in its first response.
func (l *Ledger) Ready() <-chan struct{} { return l.ready }

// Check returns nil when the ledger accepts claims, else a *NotReadyError.
func (l *Ledger) Check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.checkReady()
}

// Lookup returns the winner of a key as far as the stream has been read.
func (l *Ledger) Lookup(key claim.Key) (claim.Claim, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Lookup(key, l.Clock.Now())
}

// checkReady returns nil when the ledger accepts claims, else notReady. It clears
// notReady when notReadyUntil has passed. It is called with mu held.
func (l *Ledger) checkReady() error {
	if l.notReady == nil || l.notReadyUntil.IsZero() || l.Clock.Now().Before(l.notReadyUntil) {
		return l.notReady
	}
	l.notReady = nil
	l.Log.Info("Accepting claims again after missed records", "Stream", l.options.Stream)
	return nil
}

// isOurs reports whether a claim was made by this process.
func (l *Ledger) isOurs(claimed claim.Claim) bool {
	return claimed.Daemon == l.options.Daemon && claimed.Incarnation == l.options.Incarnation
}

// withTimeout returns a context that is cancelled once the injected clock has
// advanced by d.
func (l *Ledger) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	timer := l.Clock.AfterFunc(d, cancel)
	return bounded, func() {
		timer.Stop()
		cancel()
	}
}
