// Package gossip decides what a daemon tells which other daemon and merges
// what it is told. Facts spread from daemon to daemon, so that each daemon
// talks to few others.
//
// The package has no input or output: package peer carries its messages.
package gossip

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/timeline"
)

// Identity names a process of the system.
type Identity struct {
	// Daemon is the name of the VM.
	Daemon string
	Zone   string
	Region string
	// Incarnation differs between any two processes on the same VM.
	Incarnation string
}

// Digest is what a daemon knows. The daemon's own facts are handed to the
// mesh in a Digest, and what is new from other daemons comes back in one.
type Digest struct {
	// Identity is the process that the digest comes from.
	Identity
	Stamp timeline.Stamp
	// ConfigurationOffset is the offset of the sender's configuration.
	ConfigurationOffset uint64
	// Draining says that the sender is about to stop.
	Draining bool
	// Summaries are the newest loads of another zone.
	Summaries []Summary
	Loads     []BackendLoad
	Leaving   []Leaving
	Suspects  []Suspect
	// Demands name every plan that the daemon wants to hear of, also those
	// without requests.
	Demands []Demand
}

// BackendLoad is what one daemon reports about one backend server.
type BackendLoad struct {
	// Backend is the VM name of the backend server.
	Backend string
	// Reporter is the daemon that reports; set by the mesh.
	Reporter string
	// Version rises with each report of the same reporter; set by the mesh.
	// It is close to the reporter's time in milliseconds since 1970.
	Version uint64
	// InFlight counts the reporter's own requests at the backend server.
	InFlight int
	// Running, Queued and QueuedTokens come from the backend server's own
	// load report, when the reporter is the one that reads it.
	Running      int
	Queued       int
	QueuedTokens int
	// PrefillRate is the recent rate of prompt tokens that the reporter has
	// given to the backend server to prefill, in tokens a second.
	PrefillRate int
}

// Summary is the load of one model or plain service in a zone.
type Summary struct {
	Zone string
	// Model and Service are the model or the plain service; one is empty.
	Model   string
	Service string
	// Backends counts the backend servers that are not leaving.
	Backends int
	// Running, Queued and QueuedTokens are sums over the backend servers.
	Running      int
	Queued       int
	QueuedTokens int
}

// Leaving says that a VM is leaving.
type Leaving struct {
	VM string
	// Deadline is when the VM stops; the zero time when it is not known.
	Deadline time.Time
	// Expires is when the notice is no longer passed on; set by the mesh.
	Expires time.Time
}

// Suspect is a request that crashed backend servers.
type Suspect struct {
	// Fingerprint identifies the content of the request.
	Fingerprint uint64
	// Reporter is the daemon that saw the crashes; set by the mesh.
	Reporter string
	// Crashes counts the crashes that the reporter saw.
	Crashes int
	// Expires is when the suspect is forgotten.
	Expires time.Time
}

// Demand is the rate of requests for one plan at one daemon, or at all daemons
// of another group.
type Demand struct {
	Plan string
	// Reporter is the daemon that measured the rate; set by the mesh. It is
	// empty when Group is set.
	Reporter string
	// Group is the zone or the region whose daemons have the rate together;
	// set by the mesh. It never names the daemon's own group.
	Group string
	// Version rises with each report of the same reporter or group; set by
	// the mesh. It is close to the sender's time in milliseconds since 1970,
	// so that the rates of a daemon that was cut off are known to be old.
	Version uint64
	// Rate is in requests a second.
	Rate float64
}

// IsEmpty reports whether the digest holds no facts about others than its
// sender and the load of its zone.
func (d Digest) IsEmpty() bool {
	return len(d.Loads) == 0 && len(d.Leaving) == 0 && len(d.Suspects) == 0 && len(d.Demands) == 0
}
