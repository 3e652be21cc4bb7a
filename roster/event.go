package roster

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Event is a fact from one of the roster's sources: Listed, Noticed, Reported,
// Failed, Answered or Probed.
type Event interface {
	apply(r Roster, now time.Time) (Roster, []Effect)
}

// Listed is a snapshot of the VM list. A snapshot that is not newer than the
// last one changes nothing.
type Listed struct {
	Snapshot hosting.VMSnapshot
}

// Noticed is a reclaim notice of the cloud.
type Noticed struct {
	Notice hosting.Notice
}

// Reported is a peer's statement that a VM is leaving.
type Reported struct {
	VM string
	// Deadline is when the VM stops; the zero time when it is not known.
	Deadline time.Time
}

// Failed says that a request of this daemon failed at the VM in a way that
// shows a fault of the VM: refused or reset connections, silence, truncated or
// foreign answers.
type Failed struct {
	VM string
}

// Answered says that the VM completed a request of this daemon.
type Answered struct {
	VM string
}

// Probed says that a request was dispatched to a suspected VM. Until it ends,
// or ProbeTimeout has passed, the VM gets no other request.
type Probed struct {
	VM string
}

// EffectKind says what changed for a VM.
type EffectKind string

// The kinds of effects.
const (
	// Arrived says that the list brought in a VM.
	Arrived EffectKind = "BackendArrived"
	// Left says that a VM has become leaving: its streams are to be moved
	// and the peers to be told.
	Left EffectKind = "BackendLeaving"
	// Removed says that the list has dropped a VM.
	Removed EffectKind = "BackendGone"
	// Doubted says that a VM has become suspected.
	Doubted EffectKind = "BackendSuspected"
	// Restored says that a VM is no longer suspected.
	Restored EffectKind = "BackendRestored"
)

// Effect is a change that the daemon has to act on.
type Effect struct {
	Kind EffectKind
	VM   hosting.VM
	// Deadline is when a leaving VM stops; the zero time when it is not
	// known.
	Deadline time.Time
}
