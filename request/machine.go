package request

import "fmt"

// State is a step in the life of a request.
type State int

const (
	// Accepted is the state of a request that no backend server has.
	Accepted State = iota
	// Claimed means that the daemon holds the claim for the request's key.
	Claimed
	// Dispatched means that an attempt is being sent to a backend server.
	Dispatched
	// Answering means that an answer has begun to arrive.
	Answering
	// Ended means that the outcome stands.
	Ended
)

var stateNames = [...]string{"Accepted", "Claimed", "Dispatched", "Answering", "Ended"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// EventKind names what has happened to a request.
type EventKind int

const (
	// ClaimWon says that the daemon's claim is the first for the key.
	ClaimWon EventKind = iota
	// ClaimLost says that another claim is the first for the key.
	ClaimLost
	// AttemptBegan asks for permission to write to a backend server.
	AttemptBegan
	// AnswerBegan says that the head of an answer has arrived.
	AnswerBegan
	// AnswerWhole says that a whole answer has arrived.
	AnswerWhole
	// AttemptFailed says that an attempt is over without a whole answer.
	AttemptFailed
	// AttemptUnwritten is AttemptFailed with proof that no byte was written
	// and that none will be.
	AttemptUnwritten
	// AttemptSuspended says that an attempt is over since its run was stopped,
	// and that the run can go on from there at another backend server.
	AttemptSuspended
	// RelayAnswered says that the holder of the claim gave a whole answer.
	RelayAnswered
	// RelayNotRun says that the holder of the claim proved NotRun.
	RelayNotRun
	// GivenUp ends the request without an answer.
	GivenUp
)

var eventNames = [...]string{
	"ClaimWon", "ClaimLost", "AttemptBegan", "AnswerBegan", "AnswerWhole",
	"AttemptFailed", "AttemptUnwritten", "AttemptSuspended", "RelayAnswered", "RelayNotRun", "GivenUp",
}

// String returns the event's name.
func (k EventKind) String() string { return eventNames[k] }

// Event is an input of the state machine.
type Event struct {
	Kind EventKind
	// Attempt is the number of the attempt, from 1, for the kinds that
	// concern one.
	Attempt int
}

// TransitionError says that an event does not apply in a state, for example
// because it came late or twice. The machine is unchanged.
type TransitionError struct {
	State State
	Event Event
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("event %s of attempt %d does not apply in state %s", e.Event.Kind, e.Event.Attempt, e.State)
}

// Machine is the state of one request. It is an immutable value; Apply
// returns the next one.
type Machine struct {
	idempotent bool
	keyed      bool
	state      State
	// claimWon and claimLost are never both true.
	claimWon  bool
	claimLost bool
	// attempt is the number of the latest attempt, zero before the first.
	attempt int
	// open is true from the begin of the latest attempt until it is settled.
	// An open attempt counts as written.
	open bool
	// written is true when a settled attempt may have written a byte.
	written bool
	// suspended is true while the run can go on where it was stopped.
	suspended bool
	// outcome is Pending until the state is Ended and never changes after.
	outcome Outcome
}

// NewMachine returns the machine of an accepted request.
func NewMachine(r Request) Machine {
	return Machine{idempotent: r.Idempotent, keyed: r.Key != ""}
}

// State returns the current state.
func (m Machine) State() State { return m.state }

// Outcome returns the outcome, or Pending.
func (m Machine) Outcome() Outcome { return m.outcome }

// Attempt returns the number of the latest attempt, zero before the first.
func (m Machine) Attempt() int { return m.attempt }

// MayAttempt reports whether another attempt may be begun.
func (m Machine) MayAttempt() bool {
	if m.state == Ended || m.open {
		return false
	}
	if m.idempotent {
		return true
	}
	return (!m.written || m.suspended) && (!m.keyed || m.claimWon)
}

// MayRelease reports whether the claim may be given back: it was won, and
// nothing was or will be written under it.
func (m Machine) MayRelease() bool {
	return m.claimWon && m.state == Ended && m.outcome == NotRun
}

// provenNotRun reports whether nothing can have been written for the request
// by any daemon.
func (m Machine) provenNotRun() bool {
	return !m.written && !m.open && (!m.keyed || m.claimWon)
}

// Apply returns the machine after an event. It returns a *TransitionError
// and the unchanged machine when the event does not apply.
func (m Machine) Apply(event Event) (Machine, error) {
	if m.state == Ended {
		return m, &TransitionError{State: m.state, Event: event}
	}
	var next Machine
	var applies bool
	switch event.Kind {
	case ClaimWon, ClaimLost:
		next, applies = m.applyClaim(event.Kind)
	case AttemptBegan:
		next, applies = m.begin(event.Attempt)
	case AnswerBegan, AnswerWhole, AttemptFailed, AttemptUnwritten, AttemptSuspended:
		next, applies = m.applyAttempt(event)
	case RelayAnswered, RelayNotRun:
		next, applies = m.applyRelay(event.Kind)
	case GivenUp:
		next, applies = m.giveUp(), true
	}
	if !applies {
		return m, &TransitionError{State: m.state, Event: event}
	}
	return next, nil
}

func (m Machine) applyClaim(kind EventKind) (Machine, bool) {
	if m.idempotent || !m.keyed || m.claimWon || m.claimLost {
		return m, false
	}
	if kind == ClaimLost {
		m.claimLost = true
		return m, true
	}
	m.claimWon = true
	m.state = Claimed
	return m, true
}

func (m Machine) begin(attempt int) (Machine, bool) {
	if !m.MayAttempt() || attempt != m.attempt+1 {
		return m, false
	}
	m.attempt = attempt
	m.open = true
	m.state = Dispatched
	return m, true
}

func (m Machine) applyAttempt(event Event) (Machine, bool) {
	if !m.open || event.Attempt != m.attempt {
		return m, false
	}
	switch event.Kind {
	case AnswerBegan:
		if m.state != Dispatched {
			return m, false
		}
		m.state = Answering
		return m, true
	case AnswerWhole:
		return m.end(Answered), true
	case AttemptUnwritten:
		if m.state == Answering {
			return m, false
		}
		m.open = false
		return m, true
	case AttemptSuspended:
		m.open, m.written, m.suspended = false, true, true
		return m, true
	default:
		m.open, m.written, m.suspended = false, true, false
		return m, true
	}
}

func (m Machine) applyRelay(kind EventKind) (Machine, bool) {
	if !m.claimLost {
		return m, false
	}
	if kind == RelayAnswered {
		return m.end(Answered), true
	}
	return m.end(NotRun), true
}

func (m Machine) giveUp() Machine {
	if m.provenNotRun() {
		return m.end(NotRun)
	}
	return m.end(Unknown)
}

func (m Machine) end(outcome Outcome) Machine {
	m.state = Ended
	m.open = false
	m.outcome = outcome
	return m
}
