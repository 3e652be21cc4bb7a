// Package peer joins the daemons. Each daemon exchanges digests with others,
// pushes urgent notices, and fetches configurations and recorded answers from
// them over drpc.
//
// What is sent to whom is decided by package gossip; this package owns the
// sockets, the timers and the goroutines.
package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/peer/gossip"
)

// The facts that travel between daemons, as package gossip defines them.
type (
	// Digest is what a daemon knows.
	Digest = gossip.Digest
	// BackendLoad is what one daemon reports about one backend server.
	BackendLoad = gossip.BackendLoad
	// Leaving says that a VM is leaving.
	Leaving = gossip.Leaving
	// Summary is the load of one model or plain service in a zone.
	Summary = gossip.Summary
	// Suspect is a request that crashed backend servers.
	Suspect = gossip.Suspect
	// Demand is the rate of requests for one plan at one daemon.
	Demand = gossip.Demand
	// Identity names a process of the system.
	Identity = gossip.Identity
)

// AnswerState says how far a request is.
type AnswerState string

// The states of an answer.
const (
	// NotFound says that the daemon has no record of the request.
	NotFound AnswerState = "NotFound"
	// Pending says that the request is in progress.
	Pending AnswerState = "Pending"
	// Final says that the answer is complete.
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
	// RetryAfter is how long the caller should wait before it comes back;
	// zero means that coming back does not help.
	RetryAfter time.Duration
}

// Handler connects the mesh to the other parts of the daemon. Its methods are
// called by several goroutines and return quickly.
type Handler interface {
	// Digest returns the daemon's own facts: the loads that it sees itself,
	// the leaving VMs and suspects that it knows of, the offset of its
	// configuration and whether it is draining. The identity and the stamp
	// are filled in by the mesh.
	Digest() Digest
	// Merge takes what was new in a message. Loads, Leaving, Suspects and
	// Demands hold new facts only; the other fields describe the sender.
	Merge(news Digest)
	// Configuration returns the folded configuration and its offset; offset
	// 0 says that there is none.
	Configuration() (snapshot []byte, offset uint64)
	// Install takes a configuration that is newer than the daemon's own.
	Install(snapshot []byte, offset uint64) error
	// Answer returns the recorded answer to the request with the key. It may
	// wait for an answer that is in progress until ctx ends, and then
	// returns one that is Pending.
	Answer(ctx context.Context, key string) (Answer, error)
}
