package gossip

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywalk/cranberrywalk/timeline"
)

// ID stands for the name of a VM, a group or a plan in messages, where names
// would take most of the space.
type ID uint32

// NewID returns the ID of a name.
func NewID(name string) ID { return ID(xxhash.Sum64String(name)) }

// Message is what one daemon sends to another.
type Message struct {
	// Sender lacks the zone and the region when the receiver lists the
	// sender.
	Sender              Identity
	Stamp               timeline.Stamp
	ConfigurationOffset uint64
	Draining            bool
	// GroupHash is the hash of the names of the sender's group. Daemons with
	// equal hashes list the reporters in the same order.
	GroupHash uint32
	// Known tells how far the sender knows each reporter of its group. It is
	// set in a request to a daemon of the group and asks for what is newer.
	Known []Known
	// Compact says that the reporters in Known are left out, since the
	// receiver has the same group.
	Compact bool
	// Summaries hold the loads of the sender's group, for a receiver outside
	// of it.
	Summaries []Summary
	// Reports hold facts of reporters of the sender's group.
	Reports []Report
	Leaving []Leaving
	// Suspects name their reporters.
	Suspects []Suspect
	// NoticesHash is the hash of all Leaving and Suspects that the sender
	// holds. Daemons with equal hashes hold the same ones.
	NoticesHash uint64
	// Sequence is the sender's number of the last notice that it holds. It
	// does not leave the sender.
	Sequence uint64
}

// Known says that all facts of a reporter up to a version are known.
type Known struct {
	Reporter ID
	Version  uint64
}

// Report holds facts of one reporter. It is complete: it holds every fact of
// the reporter that changed after Base and up to Version.
type Report struct {
	Reporter ID
	Base     uint64
	Version  uint64
	Loads    []Load
	Demands  []PlanRate
}

// Load is the load of a backend server as of the version of its report.
type Load struct {
	Backend      ID
	InFlight     uint32
	Running      uint32
	Queued       uint32
	QueuedTokens uint32
	// PrefillRate is in tokens a second.
	PrefillRate uint32
}

// isIdle reports whether the load is the one of an unknown backend server.
func (l Load) isIdle() bool { return l == Load{Backend: l.Backend} }

// PlanRate is the demand for a plan as of the version of its report.
type PlanRate struct {
	Plan ID
	// Rate is in hundredths of a request a second.
	Rate uint32
}
