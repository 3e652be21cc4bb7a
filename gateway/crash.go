package gateway

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// trackedTraits are the traits of a request that a tracker of crashes knows.
type trackedTraits struct {
	tracker *suspect.CrashTracker
	traits  []string
}

// setTraits sets the traits of the request: the segments that it shares with others, and its
// content.
func (x *exchange) setTraits() {
	x.segments = x.call.SharedSegmentIDs()
	content := strconv.FormatUint(x.call.Fingerprint(x.customer.Name), 16)
	x.traits = []trackedTraits{{x.Segments, x.segments}, {x.Contents, []string{content}}}
}

// checkCrashes refuses a request whose traits crash runners.
func (x *exchange) checkCrashes(now time.Time) *Refusal {
	for _, t := range x.traits {
		admission := t.tracker.Admit(t.traits, x.Group.Decides, now)
		switch {
		case admission.Refused:
			return unavailable(reasonCrashes, 0, &CrashingTraitsError{Traits: admission.Finding.Traits})
		case admission.IsTrial:
			x.Count("Crashes.Trials", 1)
			x.Log.Info("CrashCauseTried", "Request", x.call.ID, "Traits", admission.Finding.Traits, "Trial", admission.Finding.Trials)
		}
	}
	return nil
}

// reasonCrashes is the reason of requests that are not sent to a runner since they crash
// runners.
const reasonCrashes = "CrashesRunners"

// isSuspected reports whether a request must not be sent to another runner.
func (x *exchange) isSuspected(now time.Time) bool {
	return slices.ContainsFunc(x.traits, func(t trackedTraits) bool { return t.tracker.IsSuspected(t.traits, now) })
}

// proofTime is how long after the begin of its answer a runner is known not to crash on a
// request.
const proofTime = 250 * time.Millisecond

// recordCrash records that the runner of a request seems to have crashed before its answer had
// begun, or at its begin. Runners that leave close their connections too. The mutex must be
// held.
func (x *exchange) recordCrash(a *attempt, failure error, now time.Time) {
	hasBegun := !a.answeredAt.IsZero() && now.Sub(a.answeredAt) >= proofTime
	if hasBegun || x.ctx.Err() != nil || !isBrokenOff(failure) || x.Balancer.IsLeaving(a.choice.Runner) {
		return
	}
	for _, t := range x.traits {
		t.tracker.RecordCrash(a.incarnation, suspect.Attempt{Traits: t.traits, Sent: a.sentAt}, now)
	}
}

// isBrokenOff reports whether the runner closed its connection before the end of its response.
// It did not if the daemon ended the attempt.
func isBrokenOff(failure error) bool {
	var invalid *upstream.InvalidAnswerError
	return errors.As(failure, &invalid) && upstream.IsClosedByPeer(invalid.Cause)
}

// recordData records that a runner has sent data for an attempt.
func (x *exchange) recordData(a *attempt, now time.Time) {
	for _, t := range x.traits {
		t.tracker.RecordData(a.incarnation, a.sentAt, now)
	}
}

// recordProgress records an event of a stream. The mutex must be held.
func (x *exchange) recordProgress(a *attempt, now time.Time) {
	if a.answeredAt.IsZero() {
		a.answeredAt = now
	}
	if now.Sub(a.answeredAt) >= proofTime {
		x.prove(a, now)
	}
}

// recordProof records a complete answer.
func (x *exchange) recordProof(a *attempt, now time.Time) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.prove(a, now)
}

// prove records, once, that the runner of an attempt does not crash on the request. The mutex
// must be held.
func (x *exchange) prove(a *attempt, now time.Time) {
	if a.isProven || a.answeredAt.IsZero() {
		return
	}
	a.isProven = true
	for _, t := range x.traits {
		t.tracker.RecordAnswer(t.traits, a.answeredAt, now)
	}
}
