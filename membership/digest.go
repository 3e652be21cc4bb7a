// Package membership exchanges state between the entry daemons. Each daemon
// learns of the others from the platform's store and from its peers, and sends
// every one of them a digest of its own state several times a second: directly
// in a small group, and through relays in a larger one.
package membership

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/dutylease"
	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/quota"
	"github.com/cranberrywalk/cranberrywalk/rollout"
	"github.com/cranberrywalk/cranberrywalk/scaling"
	"github.com/cranberrywalk/cranberrywalk/streamversion"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/usage"
)

// Member is one process of a daemon. A restart makes a new one.
type Member struct {
	Name    string
	Address string
	Zone    string
	// Incarnation is unique to the process.
	Incarnation string
	// Capacity is the CPU capacity of the VM in millicores.
	Capacity int
}

// Digest is the state that one daemon sends to the others. It and the structs
// nested in it are encoded as arrays: the order and the types of their fields are
// the wire format.
type Digest struct {
	Sender Member
	// TimeOfDay is the sender's wall clock, in microseconds since 1970.
	TimeOfDay int64
	// Ends holds the state of the sender's copy of each topic.
	Ends []TopicEnd
	// Stopping is true from the start of a planned shutdown.
	Stopping bool
	Load     balance.Report
	Usage    []quota.Usage
	Counts   []usage.Count
	// PeerCounts holds the counts of other processes. It is set for a receiver that
	// has just started and may have missed them.
	PeerCounts []usage.ProcessCounts
	// Reserved keeps the place of a field that older daemons send.
	Reserved msgpack.RawMessage
	// Members holds the daemons that the sender knows. It is set for a receiver
	// that has just started.
	Members []Member
	// Reports holds decided usage reports, which the store may lose.
	Reports []dutylease.Report
	// ConfigurationVersion is the version of the configuration in force at the
	// sender, or zero.
	ConfigurationVersion uint64
	// CountsAreFinal is true when the sender starts no more requests, so that Counts
	// are its last.
	CountsAreFinal bool
	// Segments tells of segments of prompts that crash runners, and Contents of requests
	// that crash them at the begin of each run.
	Segments, Contents suspect.CrashReport
	// Versions tells of the software versions that the sender has seen.
	Versions streamversion.Report
	// Runs tells of requests that crash runners at any time of their runs.
	Runs suspect.CrashReport
	// Rollouts tells how roll-outs do at the sender, and their states. Older daemons send none.
	Rollouts RolloutDigest
	// Demand tells of the requests that have arrived at the sender for services whose runners are ordered.
	// Older daemons send none.
	Demand scaling.Report
}

// RolloutDigest is the part of a digest that concerns roll-outs.
type RolloutDigest struct {
	Reports []rollout.Report
	States  []rollout.StateReport
}

// TopicEnd is the state of a daemon's copy of a topic.
type TopicEnd struct {
	Topic string
	// End is the position up to which the copy is complete.
	End latest.Position
	// Age is the time since the copy was last known to match the store.
	Age time.Duration
}

// RecordsRequest asks a daemon for the records of a topic from a position on.
type RecordsRequest struct {
	Topic string
	From  latest.Position
}

// RecordsReply holds a daemon's records of a topic.
type RecordsReply struct {
	Extract latest.Extract
	// Age is the time since the daemon's copy was last known to match the store.
	Age time.Duration
}

// ConfigurationRequest asks a daemon for the configuration that is in force there.
type ConfigurationRequest struct{}

// ConfigurationReply holds the record of the configuration in force, without a value if
// there is none.
type ConfigurationReply struct{ Record latest.Record }

// Handler provides the state of this daemon and applies that of others.
type Handler interface {
	// Digest returns the daemon's current state. toNew is true when the receiver
	// has just started and asks for collected state. The caller fills in Sender,
	// TimeOfDay and Members.
	Digest(toNew bool) Digest
	// ApplyDigest applies the digest of another daemon. delay is an estimate of the
	// digest's age.
	ApplyDigest(digest Digest, delay time.Duration)
	// ApplyUpdate applies an update of a topic that another daemon has read from the
	// store.
	ApplyUpdate(update feed.Update)
	// Records returns the daemon's records of a topic.
	Records(request RecordsRequest) RecordsReply
	// Configuration returns the record of the configuration in force.
	Configuration() latest.Record
}
