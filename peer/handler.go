// Package peer connects the daemons to each other over drpc. Each daemon exchanges
// digests with others, pushes urgent notices to them, and fetches configurations
// and recorded answers from them.
//
// Package gossip decides what is sent to whom; this package owns the sockets, the
// timers and the goroutines.
package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/peer/gossip"
)

// The facts that daemons exchange, as defined by package gossip.
type (
	// Digest is a set of facts.
	Digest = gossip.Digest
	// BackendLoad is the load of one backend server as one daemon reports it.
	BackendLoad = gossip.BackendLoad
	// Leaving is the notice that a VM is leaving.
	Leaving = gossip.Leaving
	// Summary is the load of one model or plain service in a zone.
	Summary = gossip.Summary
	// Suspect is a request that crashed backend servers.
	Suspect = gossip.Suspect
	// Demand is the request rate of one plan at one daemon, or at all daemons
	// of another group together.
	Demand = gossip.Demand
	// Identity identifies one process of a daemon.
	Identity = gossip.Identity
)

// AnswerState is the state of a request's recorded answer.
type AnswerState string

// The states of an answer.
const (
	// NotFound means that the daemon has no record of the request.
	NotFound AnswerState = "NotFound"
	// Pending means that the request is in progress.
	Pending AnswerState = "Pending"
	// Final means that the answer is complete.
	Final AnswerState = "Final"
)

// Answer is the recorded answer to a request.
type Answer struct {
	State AnswerState
	// Outcome and the fields below are set when State is Final.
	Outcome string
	Status  int
	Header  http.Header
	Body    []byte
	// RetryAfter is how long the caller should wait before it retries; zero
	// means that a retry does not help.
	RetryAfter time.Duration
}

// Handler connects the mesh to the other parts of the daemon. Its methods are
// called concurrently and, except for Answer, must not block.
type Handler interface {
	// Digest returns the daemon's own facts: the loads that it observes
	// itself, the leaving VMs and suspects that it knows of, the offset of its
	// configuration and whether it is draining. The mesh fills in the
	// identity and the stamp.
	Digest() Digest
	// Merge applies the new facts of a message. Loads, Leaving, Suspects and
	// Demands hold new facts only; the other fields describe the sender.
	Merge(update Digest)
	// Configuration returns a snapshot of the configuration and its offset;
	// offset 0 means that there is none.
	Configuration() (snapshot []byte, offset uint64)
	// Install installs a configuration that is newer than the daemon's own.
	Install(snapshot []byte, offset uint64) error
	// Answer returns the recorded answer to the request with the key. It may
	// wait until ctx ends for an answer that is in progress, and then returns
	// one with State Pending.
	Answer(ctx context.Context, key string) (Answer, error)
}
