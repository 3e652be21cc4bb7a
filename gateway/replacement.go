package gateway

import (
	"slices"

	"github.com/cranberrywalk/cranberrywalk/request"
)

// replacements are the attempts that are made while the current one is silent. The
// current attempt goes on until one of them is accepted, since its runner may still
// answer. The mutex of the exchange guards all fields.
type replacements struct {
	// pending are the attempts of which it is not known yet whether they are accepted.
	pending []*attempt
	// accepted is the attempt that replaces the current one, or nil.
	accepted *attempt
	// silentRunner is the runner whose attempt was abandoned for one that was accepted, or
	// empty.
	silentRunner string
	// hasFailed is true once an attempt has failed before it was accepted.
	hasFailed bool
	// hasReturned is true once a new attempt was made at the silent runner itself.
	hasReturned bool
	// unneeded are the attempts that were released while their runners could still reject them.
	unneeded []*attempt
	// endings are the ends of failed attempts that were not applied to the state machine
	// yet, which only the goroutine of the request uses.
	endings []request.EventKind
}

// exist reports whether the current attempt may be replaced by one that has begun.
func (r *replacements) exist() bool { return r.accepted != nil || len(r.pending) > 0 }

// mayReturnAfterward reports whether the request may return to the runner that was
// abandoned. MaxAttempts bounds the runners that a request is sent to, and that runner was
// one of them.
func (r *replacements) mayReturnAfterward() bool { return r.silentRunner != "" && !r.hasReturned }

// remove removes an attempt and reports whether it was one of them.
func (r *replacements) remove(a *attempt) bool {
	if r.accepted == a {
		r.accepted = nil
		return true
	}
	i := slices.Index(r.pending, a)
	if i < 0 {
		return false
	}
	r.pending = slices.Delete(r.pending, i, i+1)
	return true
}

// runReplacement makes an attempt until its runner has begun to answer.
func (x *exchange) runReplacement(a *attempt) {
	o, err := x.open(a)
	defer close(a.opened)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	a.opening, a.failure = o, err
	a.isOpened = true
	failure := x.failureOf(a)
	switch {
	case a.isTaken:
		// The goroutine of the request waits for it.
	case a.isReleased:
		x.discardReplacement(a)
	case failure != nil:
		x.failReplacement(a, failure)
	default:
		x.accept(a)
	}
}

// failureOf returns why an attempt that was opened does not replace the current one, or
// nil.
func (x *exchange) failureOf(a *attempt) error {
	if a.failure == nil && a.opening.buffered != nil && isRunnerFault(a.opening.buffered.status) {
		return &StatusError{Runner: a.choice.Runner.ID, Status: a.opening.buffered.status}
	}
	return a.failure
}

// startAcceptance lets an attempt be accepted unless its runner rejects it in time. It is
// called once the request was written: a runner that is not reached accepts nothing.
func (x *exchange) startAcceptance(a *attempt) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if a.isTaken || a.isReleased || a.isOpened {
		return
	}
	a.acceptance = x.Clock.AfterFunc(acceptanceTimeout, func() { x.acceptUnlessRejected(a) })
}

// acceptUnlessRejected accepts an attempt of which nothing is known yet.
func (x *exchange) acceptUnlessRejected(a *attempt) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if a.isTaken || a.isReleased || a.isOpened {
		return
	}
	x.accept(a)
}

// accept abandons the current attempt for one that has been accepted. The mutex must be
// held.
func (x *exchange) accept(a *attempt) {
	if x.replacements.accepted != nil || !x.replacements.remove(a) {
		return
	}
	x.replacements.accepted = a
	x.replacements.silentRunner = x.choice.Runner.ID
	x.Count("Replacements.Accepted", 1)
	x.Log.Info("ReplacementAccepted", "Request", x.call.ID, "Attempt", a.number, "Runner", a.choice.Runner.ID, "HasAnswered", a.isOpened)
	x.watchdog.attempt.cancel(&AttemptTimeoutError{Runner: x.choice.Runner.ID})
}

// failReplacement records an attempt that failed before it was accepted, and looks for
// another one at once. The mutex must be held.
func (x *exchange) failReplacement(a *attempt, failure error) {
	x.replacements.remove(a)
	x.replacements.hasFailed = true
	a.opening.drop()
	x.replacements.endings = append(x.replacements.endings, x.countFailure(a, failure))
	x.Count("Replacements.Failed", 1)
	a.stopAcceptance()
	a.cancel(nil)
	x.watchdog.recheck()
}

// takeReplacement makes the attempt that replaces the current one the current one. It
// returns nil if there is none.
func (x *exchange) takeReplacement() *attempt {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	a := x.replacements.accepted
	if a == nil && len(x.replacements.pending) > 0 {
		a = x.replacements.pending[0]
	}
	if a == nil {
		return nil
	}
	x.replacements.remove(a)
	a.isTaken = true
	a.stopAcceptance()
	x.continuedRun, x.stoppedAt = a.resumed, nil
	return a
}

// hasReplacement reports whether an attempt that replaces the current one has begun.
func (x *exchange) hasReplacement() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.replacements.exist()
}

// releasePending ends the attempts that are not needed since the current one goes on.
// Each of them may have reached a runner. The mutex must be held.
func (x *exchange) releasePending() {
	for _, a := range x.replacements.pending {
		x.writtenAttempts++
		x.excluded = append(x.excluded, a.choice.Runner.ID)
		x.Count("Replacements.NotNeeded", 1)
		x.Log.Info("ReplacementNotNeeded", "Request", x.call.ID, "Attempt", a.number, "Runner", a.choice.Runner.ID)
		x.release(a)
	}
	x.replacements.pending = nil
}

// releaseReplacements ends all attempts that were not taken.
func (x *exchange) releaseReplacements() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if a := x.replacements.accepted; a != nil {
		x.release(a)
		x.replacements.accepted = nil
	}
	x.releasePending()
	x.separateUnneeded()
}

// applyEndings applies the ends of failed replacements to the state machine.
func (x *exchange) applyEndings() {
	x.mutex.Lock()
	endings := x.replacements.endings
	x.replacements.endings = nil
	x.mutex.Unlock()
	for _, ending := range endings {
		x.apply(request.AttemptBegan)
		x.apply(ending)
	}
}

// applyUnsettled records in the state machine the replacements that have failed since the
// last attempt ended, and that those whose end is not known may have run.
func (x *exchange) applyUnsettled() {
	// One that fails from here on may be recorded as both, but not as neither.
	mayHaveRun := x.hasReplacement()
	x.applyEndings()
	if mayHaveRun {
		x.apply(request.AttemptBegan)
		x.apply(request.AttemptFailed)
	}
}
