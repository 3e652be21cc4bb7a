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

// Claimer claims keys for one process. Its methods are safe for use by
// several goroutines.
type Claimer struct {
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
	// notReady is why the claimer cannot claim, or nil.
	notReady error
	// notReadyUntil is when the claimer accepts claims again; zero when that does
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

// New returns a claimer that does nothing before Run.
func New(common telemetry.Common, log hosting.Log, options Options) *Claimer {
	return &Claimer{
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
func (c *Claimer) Run(ctx context.Context) {
	defer close(c.done)
	var goroutines sync.WaitGroup
	goroutines.Go(func() { c.runAppender(ctx) })
	goroutines.Go(func() { c.runReader(ctx) })
	goroutines.Wait()
}

// Done is closed when Run has returned.
func (c *Claimer) Done() <-chan struct{} { return c.done }

// Ready is closed once the stream has been read up to the end that the log
// reported in its first response.
func (c *Claimer) Ready() <-chan struct{} { return c.ready }

// Check returns nil when the claimer accepts claims, else a *NotReadyError.
func (c *Claimer) Check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checkReady()
}

// Lookup returns the winner of a key as far as the stream has been read.
func (c *Claimer) Lookup(key claim.Key) (claim.Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Lookup(key, c.Clock.Now())
}

// checkReady returns nil when the claimer accepts claims, else notReady. It clears
// notReady when notReadyUntil has passed. It is called with mu held.
func (c *Claimer) checkReady() error {
	if c.notReady == nil || c.notReadyUntil.IsZero() || c.Clock.Now().Before(c.notReadyUntil) {
		return c.notReady
	}
	c.notReady = nil
	c.Log.Info("Accepting claims again after missed records", "Stream", c.options.Stream)
	return nil
}

// isOurs reports whether a claim was made by this process.
func (c *Claimer) isOurs(claimed claim.Claim) bool {
	return claimed.Daemon == c.options.Daemon && claimed.Incarnation == c.options.Incarnation
}

// withTimeout returns a context that is cancelled once the injected clock has
// advanced by d.
func (c *Claimer) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	timer := c.Clock.AfterFunc(d, cancel)
	return bounded, func() {
		timer.Stop()
		cancel()
	}
}
