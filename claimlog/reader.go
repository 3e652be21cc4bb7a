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
	ledger *Ledger
	// initialEnd is the end of the stream in the first response of the log.
	initialEnd    uint64
	hasInitialEnd bool
	isReady       bool
	failures      int
}

// runReader reads the stream and applies it until ctx ends.
func (l *Ledger) runReader(ctx context.Context) {
	r := &reader{ledger: l}
	for ctx.Err() == nil {
		if err := r.readOnce(ctx); err != nil {
			r.failures++
			l.Count("Ledger.ReadFailures", 1)
			if clock.Sleep(ctx, l.Clock, l.options.backoff(r.failures)) != nil {
				return
			}
			continue
		}
		r.failures = 0
	}
}

func (r *reader) readOnce(ctx context.Context) error {
	l := r.ledger
	wait := time.Duration(0)
	if r.isReady {
		wait = l.options.ReadWait
	}
	bounded, cancel := l.withTimeout(ctx, wait+l.options.ReadTimeout)
	defer cancel()
	l.Count("Ledger.Reads", 1)
	batch, err := l.log.Read(bounded, l.options.Stream, l.nextOffset(), l.options.ReadLimit, wait)
	var trimmed *hosting.TrimmedError
	if errors.As(err, &trimmed) {
		l.restartState(trimmed.First)
		return nil
	}
	if err != nil {
		return err
	}
	if !r.hasInitialEnd {
		r.initialEnd, r.hasInitialEnd = batch.Next, true
	}
	if err := l.applyRecords(batch.Records); err != nil {
		return err
	}
	r.checkReady()
	return nil
}

// checkReady marks the ledger ready once the stream has been read up to
// initialEnd.
func (r *reader) checkReady() {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.isReady || l.state.Next() < r.initialEnd {
		return
	}
	r.isReady = true
	if l.notReadyUntil.IsZero() {
		l.notReady = nil
	}
	close(l.ready)
	l.Log.Info("Caught up with the claim stream", "Stream", l.options.Stream, "Offset", l.state.Next(), "Keys", l.state.KeyCount())
}

func (l *Ledger) nextOffset() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Next()
}

// applyRecords applies records and settles the process's own claims among them.
func (l *Ledger) applyRecords(records []hosting.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range records {
		decisions, err := l.state.Apply(record)
		var invalid *claim.RecordError
		if errors.As(err, &invalid) {
			l.Count("Ledger.InvalidRecords", 1)
			continue
		}
		if err != nil {
			return err
		}
		for _, decision := range decisions {
			if l.isOurs(decision.Claim) {
				l.settleOwn(decision)
			}
		}
	}
	l.dropCompletedReleases()
	l.dropMissedClaims()
	return nil
}

// settleOwn settles one of the process's own claims. A claim that nobody waits
// for any more is released if it has won. A claim that is not in sent was
// settled before and is left alone: its caller may be writing.
func (l *Ledger) settleOwn(decision claim.Decision) {
	number := decision.Claim.Number
	waiting, found := l.sent[number]
	if !found {
		return
	}
	delete(l.sent, number)
	waiting.claim = decision.Claim
	switch {
	case waiting.stage == stageAbandoned && decision.Won:
		l.addRelease(decision.Claim)
	case waiting.stage == stageAbandoned:
	case decision.Err != nil:
		waiting.settle(result{err: decision.Err})
	case decision.Won:
		l.Count("Ledger.Wins", 1)
		waiting.settle(result{verdict: Verdict{Won: true, Claim: decision.Claim}})
	default:
		waiting.settle(l.lossResult(waiting.claim.Key, waiting.claim.Fingerprint, decision.Winner))
	}
}

// restartState starts a new state at the oldest record that the log keeps.
//
// Records that are a lifetime old affect no result, so a log that keeps records
// for longer than that loses nothing that matters. When the removed records may
// be younger, the ledger makes no claims until it has read the stream for a
// lifetime; by then every claim that it missed has expired.
func (l *Ledger) restartState(first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lifetime := l.options.ClaimOptions.Lifetime
	from, lastRead, now := l.state.Next(), l.state.Now(), l.Clock.Now()
	l.state = claim.NewState(l.options.ClaimOptions, first)
	l.abandonSent(&HistoryGapError{From: from, First: first})
	removedExpired := l.options.Retention >= lifetime
	if !lastRead.IsZero() {
		removedExpired = removedExpired && now.Sub(lastRead) >= lifetime
	}
	if removedExpired {
		return
	}
	l.notReady = &NotReadyError{Cause: &HistoryGapError{From: from, First: first}}
	l.notReadyUntil = now.Add(lifetime + lifetime/clockDriftDivisor)
	l.Log.Info("Refusing claims because records were missed", "Stream", l.options.Stream, "Cause", l.notReady, "Until", l.notReadyUntil)
}

// clockDriftDivisor sets the margin for the difference between the rates of the
// log's clock and the daemon's clock: the margin is the lifetime divided by
// clockDriftDivisor.
const clockDriftDivisor = 100

// abandonSent ends the wait for all sent claims with an error, since their
// records may be among those that were removed. It is called with mu held.
func (l *Ledger) abandonSent(cause error) {
	for _, waiting := range l.sent {
		if waiting.stage == stageSent {
			// The stage is stageAbandoned and not stageSettled, so that
			// settleOwn releases the claim if it has won.
			waiting.result = result{err: &UncertainError{Claim: waiting.claim, Cause: cause}}
			waiting.stage = stageAbandoned
			close(waiting.settled)
		}
	}
}

// dropMissedClaims drops the abandoned claims whose records were removed
// unread: a later record of this process has been applied, so a duplicate of
// the removed records would be ignored. It is called with mu held.
func (l *Ledger) dropMissedClaims() {
	highest := l.state.HighestNumber(l.options.Daemon, l.options.Incarnation)
	for number, waiting := range l.sent {
		if number <= highest && waiting.stage == stageAbandoned {
			delete(l.sent, number)
		}
	}
}
