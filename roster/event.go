package roster

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Event is a fact from one of the roster's sources: Listed, Noticed, Reported,
// Failed, Succeeded or Probed.
type Event interface {
	apply(r Roster, now time.Time) (Roster, []Effect)
}

// Listed is a snapshot of the VM list. A snapshot that is not newer than the
// last one changes nothing.
type Listed struct {
	Snapshot hosting.VMSnapshot
}

// Noticed is a reclaim notice from the cloud.
type Noticed struct {
	Notice hosting.Notice
}

// Reported is a peer's report that a VM is leaving.
type Reported struct {
	VM string
	// Deadline is when the VM stops; zero when unknown.
	Deadline time.Time
}

// Failed reports that a request of this daemon failed because of a fault of the
// VM: a refused or reset connection, no response, a truncated response, or one
// that belongs to another request.
type Failed struct {
	VM string
}

// Succeeded reports that the VM completed a request of this daemon.
type Succeeded struct {
	VM string
}

// Probed reports that a request was dispatched to a suspected VM as a probe. Until
// it ends, or ProbeTimeout has passed, the VM gets no other request.
type Probed struct {
	VM string
}

// EffectKind is the kind of a state change of a VM.
type EffectKind string

// The kinds of effects.
const (
	// Arrived means that the list added a VM.
	Arrived EffectKind = "BackendArrived"
	// BecameLeaving means that a VM has entered the state Leaving: its streams must be
	// moved and the peers notified.
	BecameLeaving EffectKind = "BackendLeaving"
	// Removed means that the list no longer holds a VM.
	Removed EffectKind = "BackendGone"
	// BecameSuspected means that a VM has entered the state Suspected.
	BecameSuspected EffectKind = "BackendSuspected"
	// Restored means that a suspected VM is serving again.
	Restored EffectKind = "BackendRestored"
)

// Effect is a state change that the daemon has to act on.
type Effect struct {
	Kind EffectKind
	VM   hosting.VM
	// Deadline is when a leaving VM stops; zero when unknown.
	Deadline time.Time
}
