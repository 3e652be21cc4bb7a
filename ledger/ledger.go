// Package ledger makes and follows claims on the platform's log, so that a
// request that is not idempotent runs at most once over all daemons.
//
// One goroutine gathers claims and releases into appends, another one reads
// the stream back and folds it into a claim.Book. A claim is answered from
// the fold only, never from the answer to its append.
package ledger

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
	// claims joins the callers to the appender.
	claims *ring.Ring[*pending]
	// pace belongs to the appender.
	pace *pace
	// wake tells the appender that releases are owed.
	wake chan struct{}
	// ready is closed by the reader once the stream has been read.
	ready chan struct{}
	// done is closed by Run when both goroutines have ended.
	done chan struct{}

	mu sync.Mutex
	// book is the fold of the stream so far.
	book *claim.Book
	// sent has the claims that an append has been tried for and that the
	// reader has not seen yet, by number.
	sent map[uint64]*pending
	// owed has the releases that the book does not show yet, by number.
	owed map[uint64]*owedRelease
	// nextNumber is above every number that was ever sent.
	nextNumber uint64
	// missing is why the ledger cannot claim, or nil.
	missing error
	// missingUntil is when missing ends; zero when it ends otherwise.
	missingUntil time.Time
	// outage is why claims are refused without an append, or nil.
	outage error
	// outageUntil is when the next claim is let through to try the log;
	// zero while the appender tries it by itself.
	outageUntil time.Time
	// refusals counts the records in a row that the log has refused.
	refusals int
}

// New returns a ledger that does nothing before Run.
func New(common telemetry.Common, log hosting.Log, options Options) *Ledger {
	return &Ledger{
		Common:     common,
		options:    options,
		log:        log,
		claims:     ring.New[*pending]("Claims", options.RingCapacity),
		pace:       newPace(options.FlushInterval, options.MaxFlushInterval),
		wake:       make(chan struct{}, 1),
		ready:      make(chan struct{}),
		done:       make(chan struct{}),
		book:       claim.NewBook(options.Book, 0),
		sent:       make(map[uint64]*pending),
		owed:       make(map[uint64]*owedRelease),
		nextNumber: 1,
		missing:    &NotReadyError{},
	}
}

// Run appends and reads until ctx ends. It is called once.
func (l *Ledger) Run(ctx context.Context) {
	defer close(l.done)
	var parts sync.WaitGroup
	parts.Go(func() { l.runAppender(ctx) })
	parts.Go(func() { l.runReader(ctx) })
	parts.Wait()
}

// Done is closed when Run has returned.
func (l *Ledger) Done() <-chan struct{} { return l.done }

// Ready is closed once the stream has been read to the end that it had when
// the ledger started.
func (l *Ledger) Ready() <-chan struct{} { return l.ready }

// Check returns nil when claims are taken, else a *NotReadyError.
func (l *Ledger) Check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.checkReady()
}

// Look returns the winner of a key as far as the stream has been read.
func (l *Ledger) Look(key claim.Key) (claim.Claim, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Look(key, l.Clock.Now())
}

// checkReady is called with mu held.
func (l *Ledger) checkReady() error {
	if l.missing == nil || l.missingUntil.IsZero() || l.Clock.Now().Before(l.missingUntil) {
		return l.missing
	}
	l.missing = nil
	l.Log.Info("Claims are taken again", "Stream", l.options.Stream)
	return nil
}

// isOurs reports whether a claim was made by this process.
func (l *Ledger) isOurs(claimed claim.Claim) bool {
	return claimed.Daemon == l.options.Daemon && claimed.Incarnation == l.options.Incarnation
}

// withTimeout returns a context that the passed clock ends after d.
func (l *Ledger) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	timer := l.Clock.AfterFunc(d, cancel)
	return bounded, func() {
		timer.Stop()
		cancel()
	}
}
