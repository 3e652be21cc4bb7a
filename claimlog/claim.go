package claimlog

import (
	"context"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// Verdict is the result of a claim.
type Verdict struct {
	Won bool
	// Claim is the caller's own claim, when it has won.
	Claim claim.Claim
	// Winner is the claim that holds the key, when the caller's own has lost.
	Winner claim.Claim
}

// stage is the progress of a claim.
type stage int

const (
	// stageQueued claims wait for an append.
	stageQueued stage = iota
	// stageSent claims may be in the log.
	stageSent
	// stageSettled claims have their result.
	stageSettled
	// stageWithdrawn claims have no caller and have not been sent.
	stageWithdrawn
	// stageAbandoned claims have no caller and may be in the log. They are
	// released if they win.
	stageAbandoned
)

// result is what Claim returns to its caller.
type result struct {
	verdict Verdict
	err     error
}

// pendingClaim is a claim in progress. Its fields are guarded by the ledger's
// mu.
type pendingClaim struct {
	claim claim.Claim
	stage stage
	// result is set before settled is closed.
	result result
	// settled is closed on entering stageSettled, and by abandonSent.
	settled chan struct{}
}

func (p *pendingClaim) settle(r result) {
	p.stage, p.result = stageSettled, r
	close(p.settled)
}

// Claim claims a key and returns once the record with the claim has been read
// back and applied. The winner may write to a backend server; no other claim of
// the key can win within the key's lifetime unless the winner releases it.
//
// Besides a *claim.KeyError, *claim.FullError, *ring.FullError, *NotReadyError
// and *FingerprintError, it returns an *UnavailableError when the claim is
// certain not to be in the log, and an *UncertainError when ctx ended while it
// may be. After an error the caller must not write.
func (l *Ledger) Claim(ctx context.Context, key claim.Key, fingerprint uint64) (Verdict, error) {
	l.Count("Ledger.Claims", 1)
	waiting, known := l.prepare(key, fingerprint)
	if known != nil {
		return known.verdict, known.err
	}
	if err := l.claims.Put(waiting); err != nil {
		return Verdict{}, err
	}
	select {
	case <-waiting.settled:
		return waiting.result.verdict, waiting.result.err
	case <-ctx.Done():
		return l.stopWaiting(waiting, ctx.Err())
	case <-l.done:
		return l.stopWaiting(waiting, &StoppedError{})
	}
}

// prepare returns a claim to append, or the result when that is known without
// an append.
func (l *Ledger) prepare(key claim.Key, fingerprint uint64) (*pendingClaim, *result) {
	if err := key.Check(); err != nil {
		return nil, &result{err: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkReady(); err != nil {
		return nil, &result{err: err}
	}
	winner, found := l.state.Lookup(key, l.Clock.Now())
	if found && !l.isReleasing(winner) {
		known := l.lossResult(key, fingerprint, winner)
		return nil, &known
	}
	if err := l.state.CheckCapacity(); err != nil && !found {
		return nil, &result{err: err}
	}
	if err := l.checkOutage(); err != nil {
		return nil, &result{err: &UnavailableError{Key: key, Cause: err}}
	}
	claimed := claim.Claim{
		Key: key, Daemon: l.options.Daemon, Incarnation: l.options.Incarnation, Fingerprint: fingerprint,
	}
	return &pendingClaim{claim: claimed, settled: make(chan struct{})}, nil
}

func (l *Ledger) lossResult(key claim.Key, fingerprint uint64, winner claim.Claim) result {
	l.Count("Ledger.Losses", 1)
	if winner.Fingerprint != fingerprint {
		return result{err: &FingerprintError{Key: key, Winner: winner}}
	}
	return result{verdict: Verdict{Winner: winner}}
}

// stopWaiting ends the wait for a claim, unless its result has arrived
// meanwhile.
func (l *Ledger) stopWaiting(waiting *pendingClaim, cause error) (Verdict, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch waiting.stage {
	case stageSettled:
		return waiting.result.verdict, waiting.result.err
	case stageQueued:
		waiting.stage = stageWithdrawn
		return Verdict{}, &UnavailableError{Key: waiting.claim.Key, Cause: cause}
	default:
		waiting.stage = stageAbandoned
		return Verdict{}, &UncertainError{Claim: waiting.claim, Cause: cause}
	}
}

// checkOutage returns why a claim is refused without an append, or nil. It
// is called with mu held.
func (l *Ledger) checkOutage() error {
	if l.outage != nil && !l.outageUntil.IsZero() && !l.Clock.Now().Before(l.outageUntil) {
		return nil
	}
	return l.outage
}
