package grant

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// Proof is the reason why a range may move to another owner.
type Proof string

// The proofs.
const (
	// ProofNone takes a range that nobody owns.
	ProofNone Proof = ""
	// ProofIncarnation states that a new incarnation has bound the peer address
	// of the owner's VM, which the owner closes last.
	ProofIncarnation Proof = "Incarnation"
	// ProofVMGone states that the owner's VM has been missing from the VM list
	// for longer than the lag of the list.
	ProofVMGone Proof = "VMGone"
)

// Record is one record of one process. It has one of Take, Release and Claims,
// or none when it only shows that the process is alive.
type Record struct {
	Daemon      string
	Incarnation string
	// Sequence increases with every record of the process. A record that
	// reaches the log after one with a higher sequence has no effect.
	Sequence uint64
	// Floor is a time of the log's clock, at or before the moment when the
	// record was first sent, up to which the process wrote nothing under a
	// claim that was not in the log. It is zero when no such time is known.
	Floor   time.Time
	Take    *Take
	Release *Release
	Claims  *Claims
}

// Take requests a range.
type Take struct {
	Range Range
	// Previous is the Number of the grant that the record replaces.
	Previous uint64
	Proof    Proof
	// SeenIncarnation is the new incarnation that proves the death of the owner;
	// set for ProofIncarnation.
	SeenIncarnation string
}

// Release ends the ownership of a range. All claims under the grant precede it in
// the log.
type Release struct {
	Range  Range
	Number uint64
}

// Claims are claims and withdrawals under one grant.
type Claims struct {
	Range Range
	// Number is the number of the grant.
	Number uint64
	Claims []claim.Claim
	// Withdrawn are claims under which nothing was written.
	Withdrawn []claim.Claim
}
