// Package gossip implements the gossip protocol between daemons: it chooses the
// peers of a daemon in each round, builds the messages to them and merges the
// messages that it receives. Facts (loads, demands, leaving VMs and suspects) spread
// from daemon to daemon, so that each daemon exchanges messages with few others.
//
// The package does no I/O: package peer sends and receives its messages.
package gossip

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/timeline"
)

// Identity identifies one process of a daemon.
type Identity struct {
	// Daemon is the name of the VM.
	Daemon string
	Zone   string
	Region string
	// Incarnation differs between any two processes on the same VM.
	Incarnation string
}

// Digest is a set of facts: those that a daemon publishes, or those that are new in
// a message from a peer.
type Digest struct {
	// Identity is the process that sent the digest.
	Identity
	Stamp timeline.Stamp
	// ConfigurationOffset is the offset of the sender's configuration.
	ConfigurationOffset uint64
	// Draining is true when the sender is about to stop.
	Draining bool
	// Summaries are the newest loads in the zones of another group.
	Summaries []Summary
	Loads     []BackendLoad
	Leaving   []Leaving
	Suspects  []Suspect
	// Demands lists, in the daemon's own digest, every plan whose demand the
	// daemon wants to receive, including plans without requests.
	Demands []Demand
}

// BackendLoad is the load of one backend server as one daemon reports it.
type BackendLoad struct {
	// Backend is the VM name of the backend server.
	Backend string
	// Reporter is the reporting daemon; set by the mesh.
	Reporter string
	// Version increases with each report of the same reporter; set by the
	// mesh. It is close to the reporter's time in milliseconds since 1970.
	Version uint64
	// InFlight is the number of the reporter's own requests in progress at the
	// backend server.
	InFlight int
	// Running, Queued and QueuedTokens come from the backend server's own
	// load report. They are set only by the daemon that reads that report.
	Running      int
	Queued       int
	QueuedTokens int
	// PrefillRate is the recent rate at which the reporter has sent prompt
	// tokens to the backend server for prefill, in tokens per second.
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

// Leaving is the notice that a VM is leaving.
type Leaving struct {
	VM string
	// Deadline is when the VM stops; the zero time when it is not known.
	Deadline time.Time
	// Expires is when daemons drop the notice; set by the mesh.
	Expires time.Time
}

// Suspect is a request that crashed backend servers.
type Suspect struct {
	// Fingerprint identifies the content of the request.
	Fingerprint uint64
	// Reporter is the daemon that saw the crashes; set by the mesh.
	Reporter string
	// Crashes is the number of crashes that the reporter saw.
	Crashes int
	// Expires is when daemons drop the suspect.
	Expires time.Time
}

// Demand is the request rate of one plan at one daemon, or at all daemons of
// another group together.
type Demand struct {
	Plan string
	// Reporter is the daemon that measured the rate; set by the mesh. It is
	// empty when Group is set.
	Reporter string
	// Group is the zone or the region over whose daemons the rate is summed;
	// set by the mesh. It never names the daemon's own group.
	Group string
	// Version increases with each report of the same reporter or group; set
	// by the mesh. It is close to the sender's time in milliseconds since
	// 1970, so that rates from a partitioned daemon can be recognized as
	// stale.
	Version uint64
	// Rate is in requests per second.
	Rate float64
}

// IsEmpty reports whether the digest holds no loads, notices or demands. The
// sender's own state and the summaries do not count.
func (d Digest) IsEmpty() bool {
	return len(d.Loads) == 0 && len(d.Leaving) == 0 && len(d.Suspects) == 0 && len(d.Demands) == 0
}
