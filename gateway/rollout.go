package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/rollout"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// Rollouts decides which software versions of a service get requests, and counts how they do.
type Rollouts interface {
	// Assign counts a request that has reached its service, and returns which versions its first
	// attempt may use.
	Assign(service, route string, now time.Time) rollout.Assignment
	// Arrive counts a request that has reached its service and is bound to a version.
	Arrive(service string)
	// Reassign returns which versions a further attempt may use.
	Reassign(service, route string, now time.Time) rollout.Assignment
	// Release takes back an assignment for which no runner was found.
	Release(service, route string, assignment rollout.Assignment)
	// Start counts an attempt. One that is bound to a version has no assignment.
	Start(service, route, version string, assignment rollout.Assignment, now time.Time) *rollout.Attempt
	// Hold counts a stream that goes on at a version as in flight there until the attempt is ended.
	Hold(service, version string, now time.Time) *rollout.Attempt
	// Bound returns which versions an attempt may use that is bound to one.
	Bound(service string, now time.Time) rollout.Assignment
}

// BarredVersionError reports that a version gets no requests since its roll-out was stopped.
type BarredVersionError struct{ Service, Version string }

// Error implements error.
func (e *BarredVersionError) Error() string {
	return "version " + e.Version + " of service " + e.Service + " gets no requests"
}

// RolloutUndecidedError reports that no version of a service gets requests until it is decided which
// one does.
type RolloutUndecidedError struct{ Service string }

// Error implements error.
func (e *RolloutUndecidedError) Error() string {
	return "the roll-out of service " + e.Service + " is not decided"
}

// chooseRunner chooses the runner of the next attempt, of a version that a roll-out allows. A stream
// stays at the version that began it. The mutex must be held.
func (x *exchange) chooseRunner(r balance.Request, now time.Time) (balance.Choice, *balance.Ticket, error) {
	if x.version != "" {
		return x.chooseBound(r, now)
	}
	assignment := x.assign(now)
	choice, ticket, err := x.chooseAssigned(r, assignment, now)
	if err != nil && isStrict(assignment) {
		return x.chooseAssigned(r, x.Rollouts.Reassign(x.service, x.route.Name, now), now)
	}
	return choice, ticket, err
}

// chooseBound chooses a runner of the version that the stream is bound to. The mutex must be held.
func (x *exchange) chooseBound(r balance.Request, now time.Time) (balance.Choice, *balance.Ticket, error) {
	x.assignment = rollout.Assignment{}
	choice, ticket, err := x.Balancer.Choose(x.bound(r, x.version, now), now)
	if err == nil && !x.isAssigned {
		x.isAssigned = true
		x.Rollouts.Arrive(x.service)
	}
	return choice, ticket, err
}

// chooseAssigned chooses a runner of the versions that are assigned. After a switch the others are
// left only while no runner of the target may get requests: they are about to stop. The mutex must be
// held.
func (x *exchange) chooseAssigned(r balance.Request, assignment rollout.Assignment, now time.Time) (balance.Choice, *balance.Ticket, error) {
	if assignment.Refused {
		return balance.Choice{}, nil, &RolloutUndecidedError{Service: x.service}
	}
	if assignment.Only != "" && !isStrict(assignment) && x.lacksRecord(assignment.Only) {
		if !assignment.Optional || !x.mayFallBack(assignment) {
			x.Rollouts.Release(x.service, x.route.Name, assignment)
			return balance.Choice{}, nil, &RecordUnavailableError{Version: assignment.Only}
		}
		assignment.Only = ""
	}
	choice, ticket, err := x.Balancer.Choose(x.unbound(r, assignment), now)
	if err != nil && assignment.Optional && x.Balancer.AvailableRunners(x.service, assignment.Only) == 0 {
		assignment.Only = ""
		choice, ticket, err = x.Balancer.Choose(x.unbound(r, assignment), now)
	}
	if err != nil {
		x.Rollouts.Release(x.service, x.route.Name, assignment)
		return choice, nil, err
	}
	x.assignment, x.uncounted = assignment, assignment
	return choice, ticket, nil
}

// isStrict reports whether one version only may be used, as in a trial.
func isStrict(assignment rollout.Assignment) bool {
	return assignment.Only != "" && !assignment.Optional && !assignment.Exclusive
}

// assign returns which versions the next attempt may use. The mutex must be held.
func (x *exchange) assign(now time.Time) rollout.Assignment {
	isFirst := !x.isAssigned
	x.isAssigned = true
	if !isFirst {
		return x.Rollouts.Reassign(x.service, x.route.Name, now)
	}
	assignment := x.Rollouts.Assign(x.service, x.route.Name, now)
	if toBegin := x.versionToBegin(); isStrict(assignment) && toBegin != "" && toBegin != assignment.Only {
		// A stream on trial would wait until its record is written.
		x.Rollouts.Release(x.service, x.route.Name, assignment)
		return x.Rollouts.Reassign(x.service, x.route.Name, now)
	}
	return assignment
}

// versionToBegin returns the version at which a new stream should begin since records can't be
// written, or empty.
func (x *exchange) versionToBegin() string {
	if !x.beginsStream() {
		return ""
	}
	return x.StreamVersions.VersionToBegin(x.service)
}

// bound returns the request for a runner of one version, unless that gets no requests.
func (x *exchange) bound(r balance.Request, version string, now time.Time) balance.Request {
	allowed := x.Rollouts.Bound(x.service, now)
	r.Version, r.ExcludedVersions, r.ExcludedIfOthers = version, allowed.Except, allowed.ExceptIfOthers
	if version == "" && allowed.Exclusive {
		r.Version = allowed.Only
	}
	if !allowed.Allows(r.Version) {
		r.ExcludedVersions, r.ExcludedIfOthers = []string{r.Version}, false
	}
	return r
}

// barredAttempt counts an attempt that was not written since its version gets no requests any more, and
// returns its failure.
func (x *exchange) barredAttempt(a *attempt) error {
	x.Count("Rollouts.AttemptsBarred", 1)
	runner := a.choice.Runner
	return &upstream.UnwrittenError{Address: runner.Address, Cause: &BarredVersionError{Service: x.service, Version: runner.Version}}
}

// isBarred reports whether a version gets no requests, not even those of streams that it began.
func (x *exchange) isBarred(version string, now time.Time) bool {
	allowed := x.Rollouts.Bound(x.service, now)
	if !allowed.Allows(version) {
		return true
	}
	return slices.Contains(allowed.Except, version) && x.Balancer.HasOtherVersion(x.service, allowed.Except)
}

// unbound returns the request for a runner of the versions that are assigned.
func (x *exchange) unbound(r balance.Request, assignment rollout.Assignment) balance.Request {
	r.ExcludedVersions, r.ExcludedIfOthers = assignment.Except, assignment.ExceptIfOthers
	switch {
	case isStrict(assignment):
		r.Version, r.MaxCandidates, r.Turn = assignment.Only, x.trialRunners(assignment.Only), assignment.Turn
	case assignment.Only != "":
		r.Version = assignment.Only
	default:
		r.PreferredVersion = x.versionToBegin()
	}
	return r
}

// trialRunners returns the number of runners that the requests for a version on trial load as the
// others load those of the other versions.
func (x *exchange) trialRunners(version string) int {
	others := x.Balancer.AvailableRunners(x.service, "") - x.Balancer.AvailableRunners(x.service, version)
	return max(int(math.Round(x.options.TrialShare*float64(others))), 1)
}

// mayUse reports whether the roll-out has left a version to the last attempt that was chosen.
func (x *exchange) mayUse(version string) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	a := x.assignment
	return !a.Refused && (a.Only == "" || a.Optional || a.Only == version) && !slices.Contains(a.Except, version)
}

// startCounting counts an attempt that is about to be made. The mutex must be held.
func (x *exchange) startCounting(choice balance.Choice, now time.Time) *rollout.Attempt {
	assignment := x.uncounted
	x.uncounted = rollout.Assignment{}
	if x.route.Kind == catalog.Stream {
		x.hold(choice.Runner.Version, now)
	}
	return x.Rollouts.Start(x.service, x.route.Name, choice.Runner.Version, assignment, now)
}

// hold counts the stream as in flight at a version until the end of the exchange, also between its
// attempts. The mutex must be held.
func (x *exchange) hold(version string, now time.Time) {
	if x.isHeld && x.heldVersion == version {
		return
	}
	x.held.End(now)
	x.held, x.heldVersion, x.isHeld = x.Rollouts.Hold(x.service, version, now), version, true
}

// releaseHold ends the count of the stream as in flight.
func (x *exchange) releaseHold() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.held.End(x.Clock.Now())
}

// countResponse counts the response to an attempt. Failures are counted at the end of the attempt.
// A run that goes on elsewhere says nothing of the time to its next event.
func (x *exchange) countResponse(a *attempt, o opening) {
	isFailure := o.buffered != nil && isRunnerFault(o.buffered.status)
	if isFailure || a.resumed != nil {
		return
	}
	now := x.Clock.Now()
	a.rollout.Respond(rollout.Outcome{Loaded: a.choice.IsHalfFull, Latency: now.Sub(a.sentAt)}, now)
}

// end ends an attempt and records its result.
func (a *attempt) end(result balance.Result, now time.Time) {
	a.ticket.End(result, now)
	if result == balance.Cancelled && a.resumed == nil {
		a.rollout.Abandon(a.choice.IsHalfFull, now)
	}
	a.endCounting(result, now)
}

// endUnsent ends an attempt of which nothing was sent to the runner.
func (a *attempt) endUnsent(result balance.Result, now time.Time) {
	a.ticket.EndUnsent(result, now)
	a.endCounting(result, now)
}

func (a *attempt) endCounting(result balance.Result, now time.Time) {
	if result == balance.Failed || result == balance.Silent {
		a.rollout.Respond(rollout.Outcome{Loaded: a.choice.IsHalfFull, Failed: true}, now)
	}
	a.rollout.End(now)
}
