package gateway

import (
	"context"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// UnneededError means that an attempt was ended since another one goes on.
type UnneededError struct{ Runner string }

// Error implements error.
func (e *UnneededError) Error() string {
	return "the attempt at runner " + e.Runner + " is not needed"
}

// prepareReplacement lets an attempt be released before its runner has rejected it. Its context
// must then outlast that of a request that has ended. The mutex must be held.
func (x *exchange) prepareReplacement(a *attempt) {
	a.opened = make(chan struct{})
	a.cancel(nil)
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(x.ctx))
	a.ctx, a.cancel = ctx, cancel
	a.detach = context.AfterFunc(x.ctx, func() { cancel(context.Cause(x.ctx)) })
	a.mayWrite = func() bool { return x.beginHeadWait(a) }
}

// beginHeadWait records that an attempt is about to be written. It returns false if the attempt was
// released.
func (x *exchange) beginHeadWait(a *attempt) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	a.writtenAt, a.awaitsHead = x.Clock.Now(), true
	return !a.isReleased
}

// endHeadWait records that the head of a response was applied. It fails if the attempt was
// released.
func (x *exchange) endHeadWait(a *attempt) error {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	a.awaitsHead = false
	if a.isReleased {
		return &upstream.InvalidAnswerError{Address: a.choice.Runner.Address, Cause: &UnneededError{Runner: a.choice.Runner.ID}}
	}
	return nil
}

// release ends an attempt. The mutex must be held.
func (x *exchange) release(a *attempt) {
	a.isReleased = true
	a.stopAcceptance()
	if a.isOpened {
		x.discardReplacement(a)
		return
	}
	a.end(balance.Cancelled, x.Clock.Now())
	if !x.awaitRejection(a) {
		a.cancel(context.Canceled)
	}
}

// awaitRejection leaves a released attempt to its runner for the rest of acceptanceTimeout if the
// runner may still reject it: what the rejection says of the runner counts for other requests. It
// returns false if the attempt must be ended now. The mutex must be held.
func (x *exchange) awaitRejection(a *attempt) bool {
	left := acceptanceTimeout - x.Clock.Since(a.writtenAt)
	if !a.awaitsHead || left <= 0 || x.ctx.Err() != nil {
		return false
	}
	a.rejection = x.Clock.AfterFunc(left, func() { a.cancel(context.Canceled) })
	x.replacements.unneeded = append(x.replacements.unneeded, a)
	return true
}

// separateUnneeded lets the released attempts outlast a request that has ended. Those of a caller
// that has left, and of one whose deadline has passed, end with it. The mutex must be held.
func (x *exchange) separateUnneeded() {
	if x.ctx.Err() != nil {
		return
	}
	for _, a := range x.replacements.unneeded {
		a.detach()
	}
}

// discardReplacement gives back what an attempt holds that was released.
func (x *exchange) discardReplacement(a *attempt) {
	if a.rejection != nil {
		a.rejection.Stop()
	}
	a.cancel(context.Canceled)
	a.end(balance.Cancelled, x.Clock.Now())
	a.opening.drop()
}
