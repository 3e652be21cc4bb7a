package claim

import "fmt"

// KeyError reports that a key is not a SHA-256 sum in hexadecimal.
type KeyError struct {
	Key Key
}

// Error implements error.
func (e *KeyError) Error() string { return fmt.Sprintf("%q is not a claim key", string(e.Key)) }

// RecordError reports that a record of the claim stream is invalid. State.Apply
// skips it.
type RecordError struct {
	Reason string
}

// Error implements error.
func (e *RecordError) Error() string { return "invalid claim record: " + e.Reason }

// GapError reports that the records from Expected to the one before Offset are
// missing.
type GapError struct {
	// Expected is the offset of the next record to apply.
	Expected uint64
	Offset   uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("gap in the claim stream: got record %d, want record %d", e.Offset, e.Expected)
}

// FullError reports that the stream has Options.MaxClaims claims within one
// lifetime. Every daemon then refuses claims of new keys; claimed keys keep
// their winners.
type FullError struct {
	// Claims is the number of claims in the last lifetime.
	Claims int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("the claim stream holds %d claims within one lifetime", e.Claims)
}
