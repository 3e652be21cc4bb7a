package ledger

import (
	"context"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// Verdict is the answer to a claim.
type Verdict struct {
	Won bool
	// Claim is the own claim, when it has won.
	Claim claim.Claim
	// Winner is the claim that holds the key, when the own one has lost.
	Winner claim.Claim
}

// stage is how far a claim has come.
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

// result is what a caller of Claim gets.
type result struct {
	verdict Verdict
	err     error
}

// pending is a claim on its way. Its fields are guarded by the ledger's mu.
type pending struct {
	claim claim.Claim
	stage stage
	// result is set from stageSettled on.
	result result
	// settled is closed on entering stageSettled.
	settled chan struct{}
}

func (p *pending) settle(r result) {
	p.stage, p.result = stageSettled, r
	close(p.settled)
}

// Claim claims a key and returns once the fold of the stream has judged the
// claim. The winner may write; nobody else ever gets the key within its
// lifetime unless the winner releases it.
//
// Besides a *claim.KeyError, *claim.FullError, *ring.FullError,
// *NotReadyError and *FingerprintError, it returns an *UnavailableError when
// the claim cannot be in the log, and an *UncertainError when ctx ended
// while it may be. After an error the caller must not write.
func (l *Ledger) Claim(ctx context.Context, key claim.Key, fingerprint uint64) (Verdict, error) {
	l.Count("Ledger.Claims", 1)
	waiting, known := l.admit(key, fingerprint)
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
		return l.giveUp(waiting, ctx.Err())
	case <-l.done:
		return l.giveUp(waiting, &StoppedError{})
	}
}

// admit returns a claim to append, or the result when that is known without
// one.
func (l *Ledger) admit(key claim.Key, fingerprint uint64) (*pending, *result) {
	if err := key.Check(); err != nil {
		return nil, &result{err: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkReady(); err != nil {
		return nil, &result{err: err}
	}
	winner, found := l.book.Look(key, l.Clock.Now())
	if found && !l.isOwed(winner) {
		known := l.lost(key, fingerprint, winner)
		return nil, &known
	}
	if err := l.book.CheckRoom(); err != nil && !found {
		return nil, &result{err: err}
	}
	if err := l.checkOutage(); err != nil {
		return nil, &result{err: &UnavailableError{Key: key, Cause: err}}
	}
	claimed := claim.Claim{
		Key: key, Daemon: l.options.Daemon, Incarnation: l.options.Incarnation, Fingerprint: fingerprint,
	}
	return &pending{claim: claimed, settled: make(chan struct{})}, nil
}

func (l *Ledger) lost(key claim.Key, fingerprint uint64, winner claim.Claim) result {
	l.Count("Ledger.Losses", 1)
	if winner.Fingerprint != fingerprint {
		return result{err: &FingerprintError{Key: key, Winner: winner}}
	}
	return result{verdict: Verdict{Winner: winner}}
}

// giveUp ends the wait for a claim, unless its result has come meanwhile.
func (l *Ledger) giveUp(waiting *pending, cause error) (Verdict, error) {
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
