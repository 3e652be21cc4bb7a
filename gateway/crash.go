package gateway

import (
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// checkCrashes refuses a request whose content, or whose segments, crash runners.
func (x *exchange) checkCrashes(now time.Time) *Refusal {
	if x.Suspects.Refused(x.fingerprint, now) {
		return unavailable(reasonCrashes, 0, nil)
	}
	admission := x.Segments.Admit(x.segments, x.Group.Decides, now)
	switch {
	case admission.Refused:
		return unavailable(reasonCrashes, 0, &CrashingSegmentsError{Segments: admission.Finding.Segments})
	case admission.IsTrial:
		x.Count("Suspects.Trials", 1)
		x.Log.Info("SegmentsTried", "Request", x.call.ID, "Segments", admission.Finding.Segments, "Trial", admission.Finding.Trials)
	}
	return nil
}

// reasonCrashes is the reason of requests that are not sent to a runner since they crash
// runners.
const reasonCrashes = "CrashesRunners"

// isSuspected reports whether a request must not be sent to another runner.
func (x *exchange) isSuspected(now time.Time) bool {
	return x.Suspects.Refused(x.fingerprint, now) || x.Segments.IsSuspected(x.segments, now)
}

// recordCrash records a suspected crash for the content of a request whose runner
// broke off the response. The mutex must be held.
func (x *exchange) recordCrash(a *attempt, failure error, now time.Time) {
	if x.ctx.Err() != nil || !isBrokenOff(failure) {
		return
	}
	x.recordSegmentCrash(a, failure, now)
	crashID := suspect.CrashID(x.call.ID, a.choice.Runner.ID, a.number)
	entry := x.Suspects.RecordCrash(x.fingerprint, crashID, now)
	if x.Suspects.Refused(x.fingerprint, now) {
		x.Log.Info("RequestSuspected", "Request", x.call.ID, "Runner", a.choice.Runner.ID, "Crashes", len(entry.Crashes))
	}
}

// isBrokenOff reports whether a runner broke off its response. It did not if the daemon
// ended the attempt.
func isBrokenOff(failure error) bool {
	var invalid *upstream.InvalidAnswerError
	var timedOut *AttemptTimeoutError
	var exhausted *buffer.ExhaustedError
	return errors.As(failure, &invalid) && !errors.As(failure, &timedOut) && !errors.As(failure, &exhausted) &&
		!isHeadOverLimit(failure)
}

// isHeadOverLimit reports whether this daemon ended an attempt since the head of its response
// exceeded a limit. A runner that has crashed sends no bytes.
func isHeadOverLimit(failure error) bool {
	var late *upstream.HeaderTimeoutError
	var tooLarge *upstream.HeaderTooLargeError
	var interim *upstream.InterimAnswersError
	return errors.As(failure, &late) || errors.As(failure, &tooLarge) || errors.As(failure, &interim)
}

// proofTime is how long after the begin of its answer a runner is known not to crash on a
// request.
const proofTime = 250 * time.Millisecond

// recordSegmentCrash records that the runner of a request has crashed before its answer had
// begun, or at its begin. Runners that leave close their connections too. The mutex must be
// held.
func (x *exchange) recordSegmentCrash(a *attempt, failure error, now time.Time) {
	hasBegun := !a.answeredAt.IsZero() && now.Sub(a.answeredAt) >= proofTime
	if hasBegun || !upstream.IsClosedByPeer(failure) || x.Balancer.IsLeaving(a.choice.Runner) {
		return
	}
	x.Segments.RecordCrash(a.incarnation, suspect.Attempt{Segments: x.segments, Sent: a.sentAt}, now)
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
	x.Segments.RecordAnswer(x.segments, a.answeredAt, now)
}
