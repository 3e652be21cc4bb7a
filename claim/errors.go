package claim

import "fmt"

// KeyError says that a key is not a SHA-256 sum in hexadecimal.
type KeyError struct {
	Key Key
}

// Error implements error.
func (e *KeyError) Error() string { return fmt.Sprintf("%q is not a claim key", string(e.Key)) }

// RecordError says that a record of the claim stream is invalid. The fold
// steps over it.
type RecordError struct {
	Reason string
}

// Error implements error.
func (e *RecordError) Error() string { return "invalid claim record: " + e.Reason }

// GapError says that records between the book and a record are missing.
type GapError struct {
	// Expected is the offset of the next record that the book can fold.
	Expected uint64
	Offset   uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("record %d leaves a gap, the next one to fold is %d", e.Offset, e.Expected)
}

// FullError says that the stream held as many claims within one lifetime as
// the books may keep. Every daemon refuses a new key then; keys that are
// known keep their winners.
type FullError struct {
	// Claims is how many claims the last lifetime holds.
	Claims int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("the claim stream holds %d claims within one lifetime", e.Claims)
}
