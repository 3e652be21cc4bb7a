package gossip

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywalk/cranberrywalk/timeline"
)

// ID is a 32-bit hash that replaces the name of a VM, a group or a plan in
// messages, where names would take most of the space.
type ID uint32

// NewID returns the ID of a name.
func NewID(name string) ID { return ID(xxhash.Sum64String(name)) }

// Message is what one daemon sends to another.
type Message struct {
	// Sender has no zone and region when both sides have the same group hash,
	// since the receiver then has them in its VM list.
	Sender              Identity
	Stamp               timeline.Stamp
	ConfigurationOffset uint64
	Draining            bool
	// GroupHash is the hash of the sender's reporter IDs. Daemons with equal
	// hashes list the reporters in the same order.
	GroupHash uint32
	// KnownVersions is the sender's version vector over the reporters of its
	// group. It is set in a request to a daemon of the group and asks for
	// newer facts.
	KnownVersions []KnownVersion
	// Compact is true when the reporter IDs in KnownVersions are left out,
	// since the receiver has the same group.
	Compact bool
	// Summaries hold the loads of the sender's group. They are set for
	// receivers outside the group only.
	Summaries []Summary
	// Reports hold facts of reporters of the sender's group. For a receiver
	// outside the group they hold the demand summed over the group.
	Reports []Report
	Leaving []Leaving
	// Suspects have their reporters set.
	Suspects []Suspect
	// NoticesHash is the hash of all notices (Leaving and Suspects) that the
	// sender holds. Daemons with equal hashes hold the same notices.
	NoticesHash uint64
	// Sequence is the sender's sequence number of the last notice that it
	// holds. It is not sent.
	Sequence uint64
}

// KnownVersion is an entry of a version vector: the daemon has all facts of the
// reporter up to the version.
type KnownVersion struct {
	Reporter ID
	Version  uint64
}

// Report is a delta of the facts of one reporter. It holds every fact of the
// reporter that changed after Base and up to Version.
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
	// PrefillRate is in tokens per second.
	PrefillRate uint32
}

// isIdle reports whether all figures of the load are zero. An idle load is the
// same as none.
func (l Load) isIdle() bool { return l == Load{Backend: l.Backend} }

// PlanRate is the demand for a plan as of the version of its report.
type PlanRate struct {
	Plan ID
	// Rate is in hundredths of a request per second.
	Rate uint32
}
