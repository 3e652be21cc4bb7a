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
	// isWholeRun is true if crashes count at any time of a run, and only a whole answer clears
	// the traits. Otherwise it is the begin of the answer that counts and clears.
	isWholeRun bool
}

// setTraits sets the traits of the request: the segments that it shares with others, and its
// content. A request is asked of the tracker of whole runs first: that is the last one to find a
// cause, so that its trials are trials of the others too.
func (x *exchange) setTraits() {
	x.segments = x.call.SharedSegmentIDs()
	content := []string{strconv.FormatUint(x.call.Fingerprint(x.customer.Name), 16)}
	x.traits = []trackedTraits{
		{tracker: x.Runs, traits: content, isWholeRun: true},
		{tracker: x.Segments, traits: x.segments},
		{tracker: x.Contents, traits: content},
	}
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

// proofTime is how long after the begin of its answer a runner is known not to crash at the begin
// of an answer to a request.
const proofTime = 250 * time.Millisecond

// recordCrash records that the runner of a request seems to have crashed. Runners that leave close
// their connections too. The mutex must be held.
func (x *exchange) recordCrash(a *attempt, failure error, now time.Time) {
	if x.ctx.Err() != nil || x.Balancer.IsLeaving(a.choice.Runner) {
		return
	}
	isOver, wasSilent := isBrokenOff(failure), a.isAbandoned(failure)
	hasBegun := !a.answeredAt.IsZero() && now.Sub(a.answeredAt) >= proofTime
	for _, t := range x.traits {
		attempt := suspect.Attempt{Traits: t.traits, Sent: a.sentAt}
		switch {
		case t.isWholeRun && wasSilent:
			t.tracker.RecordCrash(a.incarnation, attempt, a.silentSince)
		case isOver && (t.isWholeRun || !hasBegun):
			t.tracker.RecordCrash(a.incarnation, attempt, now)
		}
	}
}

// isAbandoned reports whether the attempt was replaced by another one since its runner sent no
// data. The runner may have crashed; data that it sends later show that it has not.
func (a *attempt) isAbandoned(failure error) bool {
	var timedOut *AttemptTimeoutError
	return errors.As(failure, &timedOut) && !a.silentSince.IsZero()
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
	for _, t := range x.traits {
		if t.isWholeRun {
			t.tracker.RecordAnswer(t.traits, now, now)
		}
	}
}

// prove records, once, that the runner of an attempt does not crash at the begin of its answer. The
// mutex must be held.
func (x *exchange) prove(a *attempt, now time.Time) {
	if a.isProven || a.answeredAt.IsZero() {
		return
	}
	a.isProven = true
	for _, t := range x.traits {
		if !t.isWholeRun {
			t.tracker.RecordAnswer(t.traits, a.answeredAt, now)
		}
	}
}
