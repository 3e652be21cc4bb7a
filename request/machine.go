package request

import "fmt"

// State is a stage in the lifecycle of a request.
type State int

const (
	// Accepted means that the request has not been sent to a backend server.
	Accepted State = iota
	// Claimed means that the daemon holds the claim for the request's key.
	Claimed
	// Dispatched means that an attempt is being sent to a backend server.
	Dispatched
	// Answering means that the head of a response has arrived.
	Answering
	// Ended means that the outcome is final.
	Ended
)

var stateNames = [...]string{"Accepted", "Claimed", "Dispatched", "Answering", "Ended"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// EventKind is the type of an event in the lifecycle of a request.
type EventKind int

const (
	// ClaimWon means that the daemon's claim is the first for the idempotency key.
	ClaimWon EventKind = iota
	// ClaimLost means that another claim was made for the key earlier.
	ClaimLost
	// AttemptBegan starts an attempt. It must be applied before any byte is
	// written to a backend server.
	AttemptBegan
	// AnswerBegan means that the head of a response has arrived.
	AnswerBegan
	// AnswerWhole means that the complete response has arrived.
	AnswerWhole
	// AttemptFailed means that an attempt ended without a complete response.
	AttemptFailed
	// AttemptUnwritten is AttemptFailed with proof that no byte was written and
	// that none will be.
	AttemptUnwritten
	// AttemptSuspended means that an attempt ended because its run was suspended,
	// and that another backend server can continue the run from there.
	AttemptSuspended
	// RelayAnswered means that the claim holder returned a complete response.
	RelayAnswered
	// RelayNotRun means that the claim holder proved the outcome NotRun. It ends with the
	// outcome Unknown: when this is known, the holder may have released the claim, and
	// another daemon may have run the request.
	RelayNotRun
	// GivenUp ends the request without a response.
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
	// Attempt is the number of the attempt, counted from 1. Claim and relay
	// events don't use it.
	Attempt int
}

// TransitionError reports that an event is not valid in a state, for example because
// it is late or a duplicate. The machine is unchanged.
type TransitionError struct {
	State State
	Event Event
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("event %s of attempt %d does not apply in state %s", e.Event.Kind, e.Event.Attempt, e.State)
}

// Machine is the state machine of one request. It is an immutable value: Apply
// returns a new one.
type Machine struct {
	idempotent bool
	keyed      bool
	state      State
	// claimWon and claimLost are never both true.
	claimWon  bool
	claimLost bool
	// attempt is the number of the latest attempt, zero before the first.
	attempt int
	// open is true from the start of the latest attempt until an event ends it.
	// An open attempt counts as written.
	open bool
	// written is true when an attempt may have written a byte and has ended, or was open
	// when the request was given up.
	written bool
	// suspended is true while a suspended run can be continued.
	suspended bool
	// outcome is Pending until the state is Ended, and does not change
	// afterwards.
	outcome Outcome
}

// NewMachine returns the state machine of a request that was just accepted.
func NewMachine(r Request) Machine {
	return Machine{idempotent: r.Idempotent, keyed: r.Key != ""}
}

// State returns the current state.
func (m Machine) State() State { return m.state }

// Outcome returns the outcome, which is Pending until the request has ended.
func (m Machine) Outcome() Outcome { return m.outcome }

// Attempt returns the number of the latest attempt, zero before the first.
func (m Machine) Attempt() int { return m.attempt }

// MayAttempt reports whether another attempt may start.
func (m Machine) MayAttempt() bool {
	if m.state == Ended || m.open {
		return false
	}
	if m.idempotent {
		return true
	}
	return (!m.written || m.suspended) && (!m.keyed || m.claimWon)
}

// MayRelease reports whether the claim may be released: it was won, and nothing
// was or will be written under it.
func (m Machine) MayRelease() bool {
	return m.claimWon && m.state == Ended && m.outcome == NotRun
}

// IsMaybeWritten reports whether an attempt may have written a byte to a backend server.
func (m Machine) IsMaybeWritten() bool { return m.written || m.open }

// IsProvenNotRun reports whether it is certain that no daemon has written the
// request to a backend server.
func (m Machine) IsProvenNotRun() bool {
	return !m.IsMaybeWritten() && (!m.keyed || m.claimWon)
}

// Apply returns the machine after an event. If the event is not valid in the
// current state, it returns the unchanged machine and a *TransitionError.
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
		next, applies = m.beginAttempt(event.Attempt)
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

func (m Machine) beginAttempt(attempt int) (Machine, bool) {
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
	return m.end(Unknown), true
}

func (m Machine) giveUp() Machine {
	outcome := Unknown
	if m.IsProvenNotRun() {
		outcome = NotRun
	}
	m.written = m.IsMaybeWritten()
	return m.end(outcome)
}

func (m Machine) end(outcome Outcome) Machine {
	m.state = Ended
	m.open = false
	m.outcome = outcome
	return m
}
