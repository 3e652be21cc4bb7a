package claimlog

import (
	"fmt"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// UnavailableError reports that a claim was not made: it is not in the log and
// never will be.
type UnavailableError struct {
	Key   claim.Key
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("key %s was not claimed: %v", e.Key, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UncertainError reports that the caller stopped waiting for a claim or a
// release that may be in the log. The claimer continues in the background: it
// releases the claim if the claim wins, or appends the pending release.
type UncertainError struct {
	Claim claim.Claim
	Cause error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("claim %d of key %s is not settled: %v", e.Claim.Number, e.Claim.Key, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *UncertainError) Unwrap() error { return e.Cause }

// NotReadyError reports that the claimer has not read the claims of the last
// lifetime. Nothing was claimed.
type NotReadyError struct {
	// Cause is nil while the claimer reads the stream for the first time,
	// and a *HistoryGapError when records were missed.
	Cause error
}

// Error implements error.
func (e *NotReadyError) Error() string {
	if e.Cause == nil {
		return "the claim stream is being read for the first time"
	}
	return fmt.Sprintf("the claim stream has not been read: %v", e.Cause)
}

// Unwrap returns the failure underneath.
func (e *NotReadyError) Unwrap() error { return e.Cause }

// HistoryGapError reports that the log has removed unread records that may be
// younger than the lifetime of keys. The claimer makes no claims until it has
// read the stream for a lifetime.
type HistoryGapError struct {
	// From is the offset of the first missed record, First that of the oldest
	// record that the log still has.
	From  uint64
	First uint64
}

// Error implements error.
func (e *HistoryGapError) Error() string {
	return fmt.Sprintf("claim records %d to %d were removed before they were read", e.From, e.First)
}

// FingerprintError reports that the key has been claimed for a request with a
// different payload.
type FingerprintError struct {
	Key    claim.Key
	Winner claim.Claim
}

// Error implements error.
func (e *FingerprintError) Error() string {
	return fmt.Sprintf("key %s was claimed with a different payload by %s", e.Key, e.Winner.Daemon)
}

// StoppedError reports that the claimer has stopped.
type StoppedError struct{}

// Error implements error.
func (e *StoppedError) Error() string { return "the ledger has stopped" }
