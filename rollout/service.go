package rollout

import (
	"sync"
	"time"
)

// Assignment says which versions of a service a request may use.
type Assignment struct {
	// Only is the only version that may be used, or empty.
	Only string
	// Optional is true if any version that Except does not hold may be used when no runner of
	// Only is available.
	Optional bool
	// Exclusive is true if all requests go to Only, and are refused when none of its runners is
	// available: the others are about to stop.
	Exclusive bool
	// Refused is true if no version may be used until the holder of the duties has decided.
	Refused bool
	// Except holds the versions that must not be used. It is not to be modified.
	Except []string
	// ExceptIfOthers is true if Except holds only while a runner of another version may get requests.
	// An order whose state is not known may be one for the only version, and a version that was
	// rolled back may come back without an order.
	ExceptIfOthers bool
	// Turn says which runners of Only to use in a trial: a few at a time, so that each carries
	// the usual load, and others with each turn, since runners differ in speed.
	Turn int
	// Counted is true if the assignment was counted as a start at the target.
	Counted bool
	// Tally is where the arrival of a request was counted in a trial, and its start if Counted. An
	// order may be replaced by a later one for the same target before the attempt is sent.
	Tally *Tally
}

// service is the part of a Controller for the requests of one service.
type service struct {
	mutex sync.Mutex
	// first and last are the ends of the list of attempts in flight.
	first, last *Attempt
	// excluded holds the versions that are not used whatever the run says, and
	// excludedWithTarget also the target of the run. They are not modified.
	excluded, excludedWithTarget []string
	// excludedUntil is when the runners of these have stopped. A version that comes back later
	// without an order is used if it is the only one.
	excludedUntil time.Time
	// run is the newest order, or nil.
	run *run
	// load is that of the old runners, on which the turns of a trial depend, and share that of the
	// requests that go to the target in a trial.
	load  Load
	share float64
	// isOldLoaded is the load level at which the last response of an old runner was requested.
	isOldLoaded bool
}

// run is an order as far as requests depend on it.
type run struct {
	order Order
	// knownAt is when the order began as this process has first learned, and appliedAt when it
	// applied the phase.
	knownAt, appliedAt time.Time
	phase              Phase
	// stopped is true if nothing is sent to the target although the phase is not terminal.
	stopped bool
	// refusesUntil is until when requests are refused; zero if they are not.
	refusesUntil time.Time
	tally        *Tally
}

// effective returns the phase for requests at a time.
func (r *run) effective(now time.Time) Phase {
	switch {
	case r.stopped && r.phase != Completed:
		return RolledBack
	case r.phase == Trial && !now.Before(r.order.Deadline()):
		return RolledBack
	default:
		return r.phase
	}
}

// isRefusing reports whether no version may get requests: the daemon has stopped sending them to the
// target, and only the holder of the duties may allow the old versions again.
func (r *run) isRefusing(now time.Time) bool { return now.Before(r.refusesUntil) }

// settleTime is the time in which the runners that an order has left without requests stop: at once
// after Completed, and some seconds after RolledBack.
const settleTime = 30 * time.Second

// prefersTarget reports whether all requests go to the target. A completed order no longer matters once
// the runners of the other versions of its time have stopped: the versions that come later need no order.
func (r *run) prefersTarget(phase Phase, now time.Time) bool {
	if phase != Completed {
		return phase == Switch || phase == Closing
	}
	completedAt := r.appliedAt
	if deadline := r.order.Deadline(); deadline.Before(completedAt) {
		completedAt = deadline
	}
	return now.Before(completedAt.Add(settleTime))
}

// assign returns which versions an attempt may use. The first attempt of a request counts as
// its arrival; only that one goes to the target in a trial.
func (s *service) assign(route string, isFirst bool, now time.Time) Assignment {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.run == nil {
		return Assignment{Except: s.excluded}
	}
	if s.run.isRefusing(now) {
		return Assignment{Refused: true}
	}
	exposure := s.run.tally.exposure
	phase := s.run.effective(now)
	if phase == Trial && isFirst {
		return s.onTrial(route, now)
	}
	if isFirst {
		exposure.Arrive()
	}
	if s.run.prefersTarget(phase, now) {
		return Assignment{Only: s.run.order.Target, Optional: phase == Switch, Exclusive: phase != Switch, Except: s.excluded}
	}
	return s.unassigned(phase, now)
}

// arrive counts a request.
func (s *service) arrive() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.run != nil {
		s.run.tally.exposure.Arrive()
	}
}

// onTrial returns which versions the first attempt of a request may use in a trial. The mutex must be
// held.
func (s *service) onTrial(route string, now time.Time) Assignment {
	turn := s.turn(now)
	if !s.run.tally.exposure.MayStart(route, turn) {
		assignment := s.unassigned(Trial, now)
		assignment.Tally = s.run.tally
		return assignment
	}
	return Assignment{Only: s.run.order.Target, Except: s.excluded, Turn: turn.Number, Counted: true, Tally: s.run.tally}
}

// setLoad sets the load of the old runners.
func (s *service) setLoad(load Load) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.load = load
}

// turn returns the turn of the target at a time of a trial. The mutex must be held.
func (s *service) turn(now time.Time) Turn {
	return TurnAt(now.Sub(s.run.order.OrderedAt), s.load, s.share)
}

// unassigned returns an assignment to no version in particular. The mutex must be held.
func (s *service) unassigned(phase Phase, now time.Time) Assignment {
	except := s.excluded
	if phase == Unknown || phase == Trial || phase == RolledBack {
		except = s.excludedWithTarget
	}
	isSettled := phase.IsTerminal() && !now.Before(s.excludedUntil)
	return Assignment{Except: except, ExceptIfOthers: len(except) > 0 && (phase == Unknown || isSettled)}
}

// release takes back an assignment. If another runner is found later, the request is still not
// counted as arrived.
func (s *service) release(route string, assignment Assignment) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if assignment.Tally == nil {
		return
	}
	assignment.Tally.exposure.Refuse(route)
	if assignment.Counted {
		assignment.Tally.exposure.Release()
	}
}

// start counts an attempt.
func (s *service) start(route, version string, assignment Assignment, now time.Time) *Attempt {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := &Attempt{service: s, route: route, version: version, startedAt: now}
	s.append(a)
	if s.run == nil {
		return a
	}
	a.tally, a.target = s.run.tally, version == s.run.order.Target
	if s.run.effective(now) == Trial {
		a.turn = s.turn(now)
	} else {
		a.turn = Turn{Part: 1}
	}
	if !a.target {
		a.tally.oldStarted++
	}
	isCounted := assignment.Counted && assignment.Tally == s.run.tally
	switch {
	case a.target && !isCounted:
		s.run.tally.exposure.Force(route)
	case !a.target && isCounted:
		s.run.tally.exposure.Release()
	}
	return a
}

// append adds an attempt to the list. The mutex must be held.
func (s *service) append(a *Attempt) {
	a.previous = s.last
	if s.last != nil {
		s.last.next = a
	} else {
		s.first = a
	}
	s.last = a
}

// remove removes an attempt from the list. The mutex must be held.
func (s *service) remove(a *Attempt) {
	if a.previous != nil {
		a.previous.next = a.next
	} else {
		s.first = a.next
	}
	if a.next != nil {
		a.next.previous = a.previous
	} else {
		s.last = a.previous
	}
	a.previous, a.next = nil, nil
}

// report returns the wire form of what was observed of the run.
func (s *service) report(now time.Time) Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.run
	report := Report{
		Service: r.order.Service, Target: r.order.Target, Period: r.order.Period, Position: r.order.Position,
		Age: now.Sub(r.knownAt), Phase: r.phase.wire(), Stopped: r.stopped, Closed: r.phase == Closing && !r.stopped,
		Arrived: r.tally.exposure.Arrived, Started: r.tally.exposure.Started,
		LongestOld: r.tally.longestOld, Routes: r.tally.counts.report(), OldStarted: r.tally.oldStarted,
	}
	for a := s.first; a != nil; a = a.next {
		if a.version == r.order.Target {
			report.TargetInFlight++
			continue
		}
		report.OldInFlight++
		report.LongestOld = max(report.LongestOld, now.Sub(a.startedAt))
	}
	return report
}
