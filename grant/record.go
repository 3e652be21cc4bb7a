package grant

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// Proof says why a range may pass on.
type Proof string

// The proofs.
const (
	// ProofNone takes a range that nobody owns.
	ProofNone Proof = ""
	// ProofIncarnation says that a new incarnation has bound the peer
	// address of the owner's VM, which the owner closes last.
	ProofIncarnation Proof = "Incarnation"
	// ProofVMGone says that the VM list has dropped the owner's VM for
	// longer than the list lags.
	ProofVMGone Proof = "VMGone"
)

// Record is one record of one process. It has one of the parts, or none when
// it only shows that the process lives.
type Record struct {
	Daemon      string
	Incarnation string
	// Sequence rises with every record of the process. A record that the
	// log takes after one with a higher sequence has no effect.
	Sequence uint64
	// Floor is a time of the log's clock, at or before the moment when the
	// record was first sent, up to which the process wrote nothing under a
	// claim that was not in the log. It is zero when that cannot be said.
	Floor   time.Time
	Take    *Take
	Release *Release
	Claims  *Claims
}

// Take asks for a range.
type Take struct {
	Range Range
	// Previous is the Number of the grant that the record replaces.
	Previous uint64
	Proof    Proof
	// Seen is the incarnation that a ProofIncarnation has seen.
	Seen string
}

// Release gives up a range. All claims under the grant are in the log
// before it.
type Release struct {
	Range  Range
	Number uint64
}

// Claims are claims and withdrawals under one grant.
type Claims struct {
	Range Range
	// Number is that of the grant.
	Number uint64
	Claims []claim.Claim
	// Withdrawn are claims under which nothing was written.
	Withdrawn []claim.Claim
}
