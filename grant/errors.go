package grant

import (
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// StaleGrantError reports that a record names a grant that is not the current
// one of its range.
type StaleGrantError struct {
	Range   Range
	Number  uint64
	Current uint64
}

// Error implements error.
func (e *StaleGrantError) Error() string {
	return fmt.Sprintf("stale grant %d of range %d: the current grant is %d", e.Number, e.Range, e.Current)
}

// DuplicateRecordError reports that a record of the same process with this or a
// higher sequence has been applied before.
type DuplicateRecordError struct {
	Sequence uint64
	Highest  uint64
}

// Error implements error.
func (e *DuplicateRecordError) Error() string {
	return fmt.Sprintf("duplicate record: sequence %d is not above %d, the highest applied sequence of the process", e.Sequence, e.Highest)
}

// ProofError reports that a proof does not allow a range to be taken from its
// owner.
type ProofError struct {
	Range Range
	Proof Proof
}

// Error implements error.
func (e *ProofError) Error() string {
	return fmt.Sprintf("range %d cannot be taken with proof %q", e.Range, string(e.Proof))
}

// NotOwnerError reports that the process does not own the range of the key.
// Owner.Daemon is empty when the range has no owner.
type NotOwnerError struct {
	Key   claim.Key
	Owner Grant
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("key %s is in a range owned by %q", e.Key, e.Owner.Daemon)
}

// HoleError reports that a dead owner may have run the key's request without a
// record in the log, so that it is unknown whether the request has run.
type HoleError struct {
	Key   claim.Key
	Until time.Time
}

// Error implements error.
func (e *HoleError) Error() string {
	return fmt.Sprintf("unknown whether key %s has run, claims blocked until %s", e.Key, e.Until.Format(time.RFC3339))
}

// ReleasingError reports that the range is being released and accepts no new
// claims.
type ReleasingError struct {
	Range Range
}

// Error implements error.
func (e *ReleasingError) Error() string { return fmt.Sprintf("range %d is being released", e.Range) }

// UnappendedError reports that claims under the grant are not in the log yet,
// or that the release of the range has not begun.
type UnappendedError struct {
	Range  Range
	Claims int
}

// Error implements error.
func (e *UnappendedError) Error() string {
	return fmt.Sprintf("%d claims of range %d are not in the log yet", e.Claims, e.Range)
}
