package dispatch

import (
	"context"
	"errors"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// acquireClaim claims the request's idempotency key. If the claim is not won, it
// returns the final result and true.
func (f *inFlightRequest) acquireClaim() (Result, bool) {
	// Register the pending answer before making the claim, so that a daemon that
	// sees the claim and asks for the answer finds it pending.
	f.pending = f.Answers.Begin(f.request.Key)
	result, err := f.Claimer.Claim(f.ctx, f.request.Key, f.fingerprint)
	if err != nil {
		return f.giveUp(f.claimError(err)), true
	}
	f.claimResult = result
	if !result.Won {
		_ = f.apply(request.ClaimLost)
		f.recordEvent("ClaimLost", "", result.Winner.Daemon)
		f.Count("ClaimsLost", 1)
		f.pending.Abandon()
		f.pending = nil
		return f.relayFromHolder(result.Winner), true
	}
	if err := f.apply(request.ClaimWon); err != nil {
		return f.giveUp(err), true
	}
	f.recordEvent("ClaimWon", "", "")
	f.Count("ClaimsWon", 1)
	return Result{}, false
}

func (f *inFlightRequest) claimError(err error) error {
	if f.ctx.Err() != nil {
		return f.contextError()
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return conflict
	}
	return &ClaimError{Key: f.request.Key, Cause: err}
}

// relayFromHolder relays the response of the daemon that holds the claim.
func (f *inFlightRequest) relayFromHolder(winner claim.Claim) Result {
	response, err := f.fetch(winner)
	if err != nil && f.stopError() != nil {
		return f.giveUp(f.stopError())
	}
	if err != nil {
		return f.giveUp(&RelayError{Winner: winner, Cause: err})
	}
	f.saved.RetryAfter = response.RetryAfter
	switch response.Outcome {
	case request.Answered:
		if err := f.apply(request.RelayAnswered); err != nil {
			return f.giveUp(err)
		}
		f.writeRelayed(response)
		result := f.answeredResult()
		result.Relayed = true
		return result
	case request.NotRun:
		// This event ends the request; giveUp below only builds the result.
		_ = f.apply(request.RelayNotRun)
	}
	result := f.giveUp(&RelayError{Winner: winner})
	result.RetryAfter = max(result.RetryAfter, response.RetryAfter)
	result.Relayed = true
	return result
}

func (f *inFlightRequest) fetch(winner claim.Claim) (answer.Answer, error) {
	ctx, cancel := context.WithCancelCause(f.ctx)
	defer cancel(nil)
	stopWatching := context.AfterFunc(f.callerCtx, func() { cancel(&CallerGoneError{Cause: context.Cause(f.callerCtx)}) })
	defer stopWatching()
	if winner.Daemon == f.options.Daemon && winner.Incarnation == f.options.Incarnation {
		return f.Answers.Wait(ctx, f.request.Key)
	}
	return f.Relayer.Relay(ctx, winner)
}

// writeRelayed writes a response that another request with the key produced.
func (f *inFlightRequest) writeRelayed(response answer.Answer) {
	if f.writeHead(response.Status, cloneHeader(response.Header)) == nil && len(response.Body) > 0 {
		_ = f.writeChunk(response.Body)
	}
}

// publish stores the final response for other requests with the same key.
func (f *inFlightRequest) publish(result Result) {
	if f.pending == nil {
		return
	}
	if !f.claimResult.Won {
		f.pending.Abandon()
		return
	}
	f.saved.Key = f.request.Key
	f.saved.Outcome = result.Outcome
	f.saved.RetryAfter = result.RetryAfter
	if result.Outcome == request.Answered && f.savedTruncated {
		f.pending.Abandon()
		return
	}
	f.pending.Finish(f.saved)
}

// release releases a claim under which nothing was written. It removes the stored
// answer first, because another daemon may run a request with the key afterwards.
func (f *inFlightRequest) release() {
	if !f.machine.MayRelease() {
		return
	}
	f.Answers.Remove(f.request.Key)
	ctx, cancel := context.WithCancel(context.WithoutCancel(f.callerCtx))
	defer cancel()
	timer := f.Clock.AfterFunc(f.options.ReleaseTimeout, cancel)
	defer timer.Stop()
	if err := f.Claimer.Release(ctx, f.claimResult.Claim); err != nil {
		f.Count("ClaimReleasesFailed", 1)
		return
	}
	f.Count("ClaimsReleased", 1)
}
