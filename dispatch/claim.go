package dispatch

import (
	"context"
	"errors"
	"net/http"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// claim makes the claim for the request's key. It returns true with the
// result when the claim was not won.
func (f *flight) claim() (Result, bool) {
	// The slot is opened before the claim is made, so that whoever sees the
	// claim and asks for the answer finds one in progress.
	f.slot = f.Answers.Begin(f.request.Key)
	verdict, err := f.Claimer.Claim(f.ctx, f.request.Key, f.fingerprint)
	if err != nil {
		return f.giveUp(f.claimProblem(err)), true
	}
	f.verdict = verdict
	if !verdict.Won {
		_ = f.apply(request.ClaimLost)
		f.record("ClaimLost", "", verdict.Winner.Daemon)
		f.Count("ClaimsLost", 1)
		f.slot.Drop()
		f.slot = nil
		return f.relay(verdict.Winner), true
	}
	if err := f.apply(request.ClaimWon); err != nil {
		return f.giveUp(err), true
	}
	f.record("ClaimWon", "", "")
	f.Count("ClaimsWon", 1)
	return Result{}, false
}

func (f *flight) claimProblem(err error) error {
	if f.ctx.Err() != nil {
		return f.ending()
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return conflict
	}
	return &ClaimError{Key: f.request.Key, Cause: err}
}

// relay passes on the answer of the daemon that holds the claim.
func (f *flight) relay(winner claim.Claim) Result {
	given, err := f.fetch(winner)
	if err != nil {
		return f.giveUp(&RelayError{Winner: winner, Cause: err})
	}
	f.kept.RetryAfter = given.RetryAfter
	switch given.Outcome {
	case request.Answered:
		if err := f.apply(request.RelayAnswered); err != nil {
			return f.giveUp(err)
		}
		f.passOn(given)
		result := f.answered()
		result.Relayed = true
		return result
	case request.NotRun:
		// The event ends the request; giveUp then only describes it.
		_ = f.apply(request.RelayNotRun)
	}
	result := f.giveUp(&RelayError{Winner: winner})
	if result.Outcome == request.NotRun {
		result.Status = http.StatusServiceUnavailable
	}
	result.RetryAfter = max(result.RetryAfter, given.RetryAfter)
	result.Relayed = true
	return result
}

func (f *flight) fetch(winner claim.Claim) (answer.Answer, error) {
	ctx, cancel := context.WithCancelCause(f.ctx)
	defer cancel(nil)
	stop := context.AfterFunc(f.caller, func() { cancel(&CallerError{Cause: context.Cause(f.caller)}) })
	defer stop()
	if winner.Daemon == f.options.Daemon && winner.Incarnation == f.options.Incarnation {
		return f.Answers.Wait(ctx, f.request.Key)
	}
	return f.Relayer.Relay(ctx, winner)
}

// passOn writes a relayed answer.
func (f *flight) passOn(given answer.Answer) {
	if f.head(given.Status, cloneHeader(given.Header)) == nil && len(given.Body) > 0 {
		_ = f.chunk(given.Body)
	}
}

// publish makes the final answer known to other sendings of the key.
func (f *flight) publish(result Result) {
	if f.slot == nil {
		return
	}
	if !f.verdict.Won {
		f.slot.Drop()
		return
	}
	f.kept.Key = f.request.Key
	f.kept.Outcome = result.Outcome
	f.kept.RetryAfter = result.RetryAfter
	if result.Outcome == request.Answered && f.truncated {
		f.slot.Drop()
		return
	}
	f.slot.Finish(f.kept)
}

// release gives back a claim under which nothing was written. The stored
// answer is forgotten first: afterwards another daemon may run the key.
func (f *flight) release() {
	if !f.machine.MayRelease() {
		return
	}
	f.Answers.Forget(f.request.Key)
	ctx, cancel := context.WithCancel(context.WithoutCancel(f.caller))
	defer cancel()
	timer := f.Clock.AfterFunc(f.options.ReleaseTimeout, cancel)
	defer timer.Stop()
	if err := f.Claimer.Release(ctx, f.verdict.Claim); err != nil {
		f.Count("ClaimReleasesFailed", 1)
		return
	}
	f.Count("ClaimsReleased", 1)
}
