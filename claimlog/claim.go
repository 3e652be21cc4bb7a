package claimlog

import (
	"context"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// Result says whether a claim has won.
type Result struct {
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

// outcome is what Claim returns to its caller.
type outcome struct {
	result Result
	err    error
}

// pendingClaim is a claim in progress. Its fields are guarded by the claimer's
// mu.
type pendingClaim struct {
	claim claim.Claim
	stage stage
	// outcome is set before settled is closed.
	outcome outcome
	// settled is closed on entering stageSettled, and by abandonSent.
	settled chan struct{}
}

func (p *pendingClaim) settle(o outcome) {
	p.stage, p.outcome = stageSettled, o
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
func (c *Claimer) Claim(ctx context.Context, key claim.Key, fingerprint uint64) (Result, error) {
	c.Count("Ledger.Claims", 1)
	waiting, known := c.prepare(key, fingerprint)
	if known != nil {
		return known.result, known.err
	}
	if err := c.claims.Put(waiting); err != nil {
		return Result{}, err
	}
	select {
	case <-waiting.settled:
		return waiting.outcome.result, waiting.outcome.err
	case <-ctx.Done():
		return c.stopWaiting(waiting, ctx.Err())
	case <-c.done:
		return c.stopWaiting(waiting, &StoppedError{})
	}
}

// prepare returns a claim to append, or the result when that is known without
// an append.
func (c *Claimer) prepare(key claim.Key, fingerprint uint64) (*pendingClaim, *outcome) {
	if err := key.Check(); err != nil {
		return nil, &outcome{err: err}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkReady(); err != nil {
		return nil, &outcome{err: err}
	}
	winner, found := c.state.Lookup(key, c.Clock.Now())
	if found && !c.isReleasing(winner) {
		known := c.lossResult(key, fingerprint, winner)
		return nil, &known
	}
	if err := c.state.CheckCapacity(); err != nil && !found {
		return nil, &outcome{err: err}
	}
	if err := c.checkOutage(); err != nil {
		return nil, &outcome{err: &UnavailableError{Key: key, Cause: err}}
	}
	claimed := claim.Claim{
		Key: key, Daemon: c.options.Daemon, Incarnation: c.options.Incarnation, Fingerprint: fingerprint,
	}
	return &pendingClaim{claim: claimed, settled: make(chan struct{})}, nil
}

func (c *Claimer) lossResult(key claim.Key, fingerprint uint64, winner claim.Claim) outcome {
	c.Count("Ledger.Losses", 1)
	if winner.Fingerprint != fingerprint {
		return outcome{err: &FingerprintError{Key: key, Winner: winner}}
	}
	return outcome{result: Result{Winner: winner}}
}

// stopWaiting ends the wait for a claim, unless its result has arrived
// meanwhile.
func (c *Claimer) stopWaiting(waiting *pendingClaim, cause error) (Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch waiting.stage {
	case stageSettled:
		return waiting.outcome.result, waiting.outcome.err
	case stageQueued:
		waiting.stage = stageWithdrawn
		return Result{}, &UnavailableError{Key: waiting.claim.Key, Cause: cause}
	default:
		waiting.stage = stageAbandoned
		return Result{}, &UncertainError{Claim: waiting.claim, Cause: cause}
	}
}

// checkOutage returns why a claim is refused without an append, or nil. It
// is called with mu held.
func (c *Claimer) checkOutage() error {
	if c.outage != nil && !c.outageUntil.IsZero() && !c.Clock.Now().Before(c.outageUntil) {
		return nil
	}
	return c.outage
}
