package claimlog

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// reader is the state of the reading goroutine.
type reader struct {
	claimer *Claimer
	// initialEnd is the end of the stream in the first response of the log.
	initialEnd    uint64
	hasInitialEnd bool
	isReady       bool
	failures      int
}

// runReader reads the stream and applies it until ctx ends.
func (c *Claimer) runReader(ctx context.Context) {
	r := &reader{claimer: c}
	for ctx.Err() == nil {
		if err := r.readOnce(ctx); err != nil {
			r.failures++
			c.Count("Ledger.ReadFailures", 1)
			if clock.Sleep(ctx, c.Clock, c.options.backoff(r.failures)) != nil {
				return
			}
			continue
		}
		r.failures = 0
	}
}

func (r *reader) readOnce(ctx context.Context) error {
	c := r.claimer
	wait := time.Duration(0)
	if r.isReady {
		wait = c.options.ReadWait
	}
	bounded, cancel := c.withTimeout(ctx, wait+c.options.ReadTimeout)
	defer cancel()
	c.Count("Ledger.Reads", 1)
	batch, err := c.log.Read(bounded, c.options.Stream, c.nextOffset(), c.options.ReadLimit, wait)
	var trimmed *hosting.TrimmedError
	if errors.As(err, &trimmed) {
		c.restartState(trimmed.First)
		return nil
	}
	if err != nil {
		return err
	}
	if !r.hasInitialEnd {
		r.initialEnd, r.hasInitialEnd = batch.Next, true
	}
	if err := c.applyRecords(batch.Records); err != nil {
		return err
	}
	r.checkReady()
	return nil
}

// checkReady marks the claimer ready once the stream has been read up to
// initialEnd.
func (r *reader) checkReady() {
	c := r.claimer
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.isReady || c.state.Next() < r.initialEnd {
		return
	}
	r.isReady = true
	if c.notReadyUntil.IsZero() {
		c.notReady = nil
	}
	close(c.ready)
	c.Log.Info("Caught up with the claim stream", "Stream", c.options.Stream, "Offset", c.state.Next(), "Keys", c.state.KeyCount())
}

func (c *Claimer) nextOffset() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Next()
}

// applyRecords applies records and settles the process's own claims among them.
func (c *Claimer) applyRecords(records []hosting.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range records {
		decisions, err := c.state.Apply(record)
		var invalid *claim.RecordError
		if errors.As(err, &invalid) {
			c.Count("Ledger.InvalidRecords", 1)
			continue
		}
		if err != nil {
			return err
		}
		for _, decision := range decisions {
			if c.isOurs(decision.Claim) {
				c.settleOwn(decision)
			}
		}
	}
	c.dropCompletedReleases()
	c.dropMissedClaims()
	return nil
}

// settleOwn settles one of the process's own claims. A claim that nobody waits
// for any more is released if it has won. A claim that is not in sent was
// settled before and is left alone: its caller may be writing.
func (c *Claimer) settleOwn(decision claim.Decision) {
	number := decision.Claim.Number
	waiting, found := c.sent[number]
	if !found {
		return
	}
	delete(c.sent, number)
	waiting.claim = decision.Claim
	switch {
	case waiting.stage == stageAbandoned && decision.Won:
		c.addRelease(decision.Claim)
	case waiting.stage == stageAbandoned:
	case decision.Err != nil:
		waiting.settle(outcome{err: decision.Err})
	case decision.Won:
		c.Count("Ledger.Wins", 1)
		waiting.settle(outcome{result: Result{Won: true, Claim: decision.Claim}})
	default:
		waiting.settle(c.lossResult(waiting.claim.Key, waiting.claim.Fingerprint, decision.Winner))
	}
}

// restartState starts a new state at the oldest record that the log keeps.
//
// Records that are a lifetime old affect no result, so a log that keeps records
// for longer than that loses nothing that matters. When the removed records may
// be younger, the claimer makes no claims until it has read the stream for a
// lifetime; by then every claim that it missed has expired.
func (c *Claimer) restartState(first uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lifetime := c.options.ClaimOptions.Lifetime
	from, lastRead, now := c.state.Next(), c.state.Now(), c.Clock.Now()
	c.state = claim.NewState(c.options.ClaimOptions, first)
	c.abandonSent(&HistoryGapError{From: from, First: first})
	removedExpired := c.options.Retention >= lifetime
	if !lastRead.IsZero() {
		removedExpired = removedExpired && now.Sub(lastRead) >= lifetime
	}
	if removedExpired {
		return
	}
	c.notReady = &NotReadyError{Cause: &HistoryGapError{From: from, First: first}}
	c.notReadyUntil = now.Add(lifetime + lifetime/clockDriftDivisor)
	c.Log.Info("Refusing claims because records were missed", "Stream", c.options.Stream, "Cause", c.notReady, "Until", c.notReadyUntil)
}

// clockDriftDivisor sets the margin for the difference between the rates of the
// log's clock and the daemon's clock: the margin is the lifetime divided by
// clockDriftDivisor.
const clockDriftDivisor = 100

// abandonSent ends the wait for all sent claims with an error, since their
// records may be among those that were removed. It is called with mu held.
func (c *Claimer) abandonSent(cause error) {
	for _, waiting := range c.sent {
		if waiting.stage == stageSent {
			// The stage is stageAbandoned and not stageSettled, so that
			// settleOwn releases the claim if it has won.
			waiting.outcome = outcome{err: &UncertainError{Claim: waiting.claim, Cause: cause}}
			waiting.stage = stageAbandoned
			close(waiting.settled)
		}
	}
}

// dropMissedClaims drops the abandoned claims whose records were removed
// unread: a later record of this process has been applied, so a duplicate of
// the removed records would be ignored. It is called with mu held.
func (c *Claimer) dropMissedClaims() {
	highest := c.state.HighestNumber(c.options.Daemon, c.options.Incarnation)
	for number, waiting := range c.sent {
		if number <= highest && waiting.stage == stageAbandoned {
			delete(c.sent, number)
		}
	}
}
