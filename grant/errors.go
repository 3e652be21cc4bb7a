package grant

import (
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// StaleGrantError says that a record names a grant that is not the current
// one of its range.
type StaleGrantError struct {
	Range   Range
	Number  uint64
	Current uint64
}

// Error implements error.
func (e *StaleGrantError) Error() string {
	return fmt.Sprintf("grant %d of range %d is not current, %d is", e.Number, e.Range, e.Current)
}

// CopyError says that a record of the same process with this or a higher
// sequence has been folded before.
type CopyError struct {
	Sequence uint64
	Highest  uint64
}

// Error implements error.
func (e *CopyError) Error() string {
	return fmt.Sprintf("record %d of a process whose record %d is folded", e.Sequence, e.Highest)
}

// ProofError says that a proof does not fit the owner of the range.
type ProofError struct {
	Range Range
	Proof Proof
}

// Error implements error.
func (e *ProofError) Error() string {
	return fmt.Sprintf("range %d does not pass on by proof %q", e.Range, string(e.Proof))
}

// NotOwnerError says that another process decides about the key. Owner is
// empty when nobody does.
type NotOwnerError struct {
	Key   claim.Key
	Owner Grant
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("key %s belongs to %q", e.Key, e.Owner.Daemon)
}

// HoleError says that a dead owner may have run the key without a record.
// Whether it did is unknown.
type HoleError struct {
	Key   claim.Key
	Until time.Time
}

// Error implements error.
func (e *HoleError) Error() string {
	return fmt.Sprintf("whether key %s has run is unknown until %s", e.Key, e.Until.Format(time.RFC3339))
}

// ReleasingError says that the range is being given up.
type ReleasingError struct {
	Range Range
}

// Error implements error.
func (e *ReleasingError) Error() string { return fmt.Sprintf("range %d is being released", e.Range) }

// UnappendedError says that claims under the grant are not in the log yet.
type UnappendedError struct {
	Range  Range
	Claims int
}

// Error implements error.
func (e *UnappendedError) Error() string {
	return fmt.Sprintf("%d claims of range %d are not in the log", e.Claims, e.Range)
}
