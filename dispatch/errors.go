package dispatch

import (
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// NoBackendError says that no backend server may take the request.
type NoBackendError struct {
	// Target is the model or service.
	Target string
	// Reason tells what rules the backend servers out.
	Reason string
}

// Error implements error.
func (e *NoBackendError) Error() string {
	return fmt.Sprintf("no backend server for %s: %s", e.Target, e.Reason)
}

// OverloadError says that the request is refused to keep the latency targets
// of others.
type OverloadError struct {
	Target     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("%s is overloaded, free in %s", e.Target, e.RetryAfter)
}

// DrainingError says that the daemon is being stopped.
type DrainingError struct{}

// Error implements error.
func (*DrainingError) Error() string { return "the daemon is being stopped" }

// DrainError says that requests were left when the wait for them ended.
type DrainError struct {
	InFlight int
}

// Error implements error.
func (e *DrainError) Error() string { return fmt.Sprintf("%d requests have not ended", e.InFlight) }

// SuspectError says that requests with this content have crashed backend
// servers.
type SuspectError struct {
	Fingerprint uint64
}

// Error implements error.
func (e *SuspectError) Error() string {
	return fmt.Sprintf("requests with fingerprint %016x have crashed backend servers", e.Fingerprint)
}

// ConflictError says that the key was used with another payload.
type ConflictError struct {
	Key claim.Key
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %s belongs to another payload", e.Key)
}

// ClaimError says that the claim could not be settled.
type ClaimError struct {
	Key   claim.Key
	Cause error
}

// Error implements error.
func (e *ClaimError) Error() string {
	return fmt.Sprintf("claim for key %s is not settled: %v", e.Key, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *ClaimError) Unwrap() error { return e.Cause }

// RelayError says that the holder of the claim has not given its answer.
type RelayError struct {
	Winner claim.Claim
	// Cause is the failure underneath; it is nil when the holder itself does
	// not know the outcome.
	Cause error
}

// Error implements error.
func (e *RelayError) Error() string {
	return fmt.Sprintf("no answer from %s, which holds key %s: %v", e.Winner.Daemon, e.Winner.Key, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *RelayError) Unwrap() error { return e.Cause }

// DeadlineError says that the request's deadline has passed.
type DeadlineError struct{}

// Error implements error.
func (*DeadlineError) Error() string { return "the deadline has passed" }

// CallerError says that the caller has gone.
type CallerError struct {
	Cause error
}

// Error implements error.
func (e *CallerError) Error() string { return fmt.Sprintf("the caller has gone: %v", e.Cause) }

// Unwrap returns the failure underneath.
func (e *CallerError) Unwrap() error { return e.Cause }

// BusyError says that a backend server refused the request for its load.
type BusyError struct {
	Backend    string
	Status     int
	RetryAfter time.Duration
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%s answered with status %d", e.Backend, e.Status)
}

// BudgetError says that the retry budget or the attempts are spent.
type BudgetError struct {
	Attempts int
	// Cause is the failure of the last attempt.
	Cause error
}

// Error implements error.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("no retry is left after %d attempts: %v", e.Attempts, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *BudgetError) Unwrap() error { return e.Cause }

// MovedError says that an attempt was ended to continue elsewhere.
type MovedError struct {
	Backend string
}

// Error implements error.
func (e *MovedError) Error() string { return fmt.Sprintf("the stream moves away from %s", e.Backend) }

// BrokenStreamError says that a stream broke and cannot be continued.
type BrokenStreamError struct {
	Backend string
	Cause   error
}

// Error implements error.
func (e *BrokenStreamError) Error() string {
	return fmt.Sprintf("stream of %s cannot be continued: %v", e.Backend, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *BrokenStreamError) Unwrap() error { return e.Cause }

// CollectError says that a stream holds more than can be put into an answer in
// one piece. The request is sent again without a stream.
type CollectError struct {
	Backend string
}

// Error implements error.
func (e *CollectError) Error() string {
	return fmt.Sprintf("the stream of %s cannot be collected", e.Backend)
}
