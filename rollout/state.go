package rollout

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/latest"
)

// Phase is the step that a roll-out has reached.
type Phase uint8

// The phases of a roll-out. Their numbers are part of the wire format, see StateReport.
const (
	// Unknown is the phase of an order whose state this daemon has not learned. Its target gets
	// no requests.
	Unknown Phase = iota
	// Trial is the phase in which the target gets a limited share of the requests.
	Trial
	// Switch is the phase in which the target gets all new requests.
	Switch
	// RolledBack is terminal: the target gets no requests.
	RolledBack
	// Completed is terminal: the old version serves nothing.
	Completed
	// Closing is the phase between Switch and Completed in which the old version gets nothing, also
	// if no runner of the target is available. Only the holder of the duties ends it.
	Closing
)

// rank orders the phases by precedence: of two states of one order the one whose phase has the
// higher rank is the newer one.
func (p Phase) rank() int {
	return [...]int{Unknown: 0, Trial: 1, Switch: 2, Closing: 3, RolledBack: 4, Completed: 5}[min(p, Closing)]
}

// isKnown reports whether the phase is one of those above. Another process may tell any.
func (p Phase) isKnown() bool { return p <= Closing }

// IsTerminal reports whether the phase is never left.
func (p Phase) IsTerminal() bool { return p == Completed || p == RolledBack }

// String returns the name of the phase for log lines.
func (p Phase) String() string {
	return [...]string{"Unknown", "Trial", "Switch", "RolledBack", "Completed", "Closing"}[min(p, Closing)]
}

// State is the state of one order. It is immutable.
type State struct {
	Order Order
	Phase Phase
	// Fence is the fencing token of the holder that decided the state.
	Fence uint64
	// Reason says why the phase was entered, for log lines.
	Reason Reason
}

// Reason says why a roll-out entered its phase.
type Reason string

// The reasons of phases.
const (
	ReasonOrdered    Reason = "Ordered"
	ReasonGood       Reason = "Good"
	ReasonBad        Reason = "Bad"
	ReasonStopped    Reason = "StoppedByDaemon"
	ReasonUndecided  Reason = "Undecided"
	ReasonNotDrained Reason = "NotDrained"
	ReasonDrained    Reason = "Drained"
	ReasonAlone      Reason = "ServesAlone"
	ReasonNoTarget   Reason = "NoRunnerOfTarget"
)

// Supersedes reports whether a daemon that holds the other state of the same order applies s.
func (s State) Supersedes(other State) bool {
	if other.Phase.IsTerminal() || s.Phase != other.Phase {
		return !other.Phase.IsTerminal() && s.Phase.rank() > other.Phase.rank()
	}
	return s.Fence > other.Fence
}

// StateReport is the wire form of a state, for digests and for the store. Times are ages, since
// the clocks of daemons differ. Digests encode it as an array and the store holds it as a map, so
// the order, the names and the types of its fields are the wire format.
type StateReport struct {
	Service, Target string
	Period          time.Duration
	Position        latest.Position
	// Age is the time since the order when the report was made.
	Age time.Duration
	// Phase is Switch in Closing: daemons that do not know that phase go on as in Switch.
	Phase  Phase
	Fence  uint64
	Reason Reason
	// IsClosing is true in Closing.
	IsClosing bool
}

// Report returns the wire form of the state.
func (s State) Report(now time.Time) StateReport {
	return StateReport{
		Service: s.Order.Service, Target: s.Order.Target, Period: s.Order.Period, Position: s.Order.Position,
		Age: now.Sub(s.Order.OrderedAt), Phase: s.Phase.wire(), Fence: s.Fence, Reason: s.Reason, IsClosing: s.Phase == Closing,
	}
}

// wire returns the phase as other processes are told.
func (p Phase) wire() Phase {
	if p == Closing {
		return Switch
	}
	return p
}

// maxAge bounds the age of an order that another process tells, so that times stay in range.
const maxAge = 365 * 24 * time.Hour

// orderedAt returns the time of an order that had an age at a time. No order is from the future.
func orderedAt(madeAt time.Time, age time.Duration) time.Time {
	return madeAt.Add(-min(max(age, 0), maxAge))
}

// State returns the state that was reported at a time of this process's clock.
func (r StateReport) State(madeAt time.Time) State {
	order := Order{Service: r.Service, Target: r.Target, Period: r.Period, Position: r.Position, OrderedAt: orderedAt(madeAt, r.Age)}
	state := State{Order: order, Phase: r.Phase, Fence: r.Fence, Reason: r.Reason}
	if r.IsClosing && r.Phase == Switch {
		state.Phase = Closing
	}
	return state
}
