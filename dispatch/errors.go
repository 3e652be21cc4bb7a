package dispatch

import (
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// NoBackendError reports that no backend server is available for the request.
type NoBackendError struct {
	// Target is the name of the model or service.
	Target string
	// Reason is why no backend server is eligible.
	Reason string
}

// Error implements error.
func (e *NoBackendError) Error() string {
	return fmt.Sprintf("no backend server for %s: %s", e.Target, e.Reason)
}

// OverloadError reports that the request was rejected to protect the latency targets
// of other requests.
type OverloadError struct {
	Target     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("%s is overloaded, free in %s", e.Target, e.RetryAfter)
}

// DrainingError reports that the daemon is shutting down and accepts no requests.
type DrainingError struct{}

// Error implements error.
func (*DrainingError) Error() string { return "the daemon is being stopped" }

// DrainIncompleteError reports that requests were still in flight when the wait for
// them ended.
type DrainIncompleteError struct {
	InFlight int
}

// Error implements error.
func (e *DrainIncompleteError) Error() string {
	return fmt.Sprintf("%d requests have not ended", e.InFlight)
}

// SuspectError reports that requests with this content have crashed backend
// servers.
type SuspectError struct {
	Fingerprint uint64
}

// Error implements error.
func (e *SuspectError) Error() string {
	return fmt.Sprintf("requests with fingerprint %016x have crashed backend servers", e.Fingerprint)
}

// ConflictError reports that the key was used with another payload.
type ConflictError struct {
	Key claim.Key
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %s belongs to another payload", e.Key)
}

// ClaimError reports that the result of the claim could not be determined.
type ClaimError struct {
	Key   claim.Key
	Cause error
}

// Error implements error.
func (e *ClaimError) Error() string {
	return fmt.Sprintf("claim for key %s is not settled: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *ClaimError) Unwrap() error { return e.Cause }

// RelayError reports that the claim holder did not return a response.
type RelayError struct {
	Winner claim.Claim
	// Cause is nil when the holder responded with the outcome NotRun or Unknown.
	Cause error
}

// Error implements error.
func (e *RelayError) Error() string {
	text := fmt.Sprintf("no answer from %s, which holds key %s", e.Winner.Daemon, e.Winner.Key)
	if e.Cause == nil {
		return text
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RelayError) Unwrap() error { return e.Cause }

// DeadlineError reports that the request's deadline has passed.
type DeadlineError struct{}

// Error implements error.
func (*DeadlineError) Error() string { return "the deadline has passed" }

// CallerGoneError reports that the caller has disconnected.
type CallerGoneError struct {
	Cause error
}

// Error implements error.
func (e *CallerGoneError) Error() string { return fmt.Sprintf("the caller has gone: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

// BusyError reports that a backend server rejected the request because of its load.
type BusyError struct {
	Backend    string
	Status     int
	RetryAfter time.Duration
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%s answered with status %d", e.Backend, e.Status)
}

// ContinuationStatusError reports that a backend server that was asked to continue a
// stream answered with another status than 200.
type ContinuationStatusError struct {
	Backend string
	Status  int
}

// Error implements error.
func (e *ContinuationStatusError) Error() string {
	return fmt.Sprintf("%s answered with status %d and did not continue the stream", e.Backend, e.Status)
}

// IncompleteStreamError reports that a backend server has ended a stream without a finish
// reason, before the last token that the request allows.
type IncompleteStreamError struct {
	Backend string
	// Tokens is the number of tokens of the stream, including those of earlier attempts.
	Tokens int
}

// Error implements error.
func (e *IncompleteStreamError) Error() string {
	return fmt.Sprintf("%s ended the stream after %d tokens without a finish reason", e.Backend, e.Tokens)
}

// RetriesExhaustedError reports that the retry budget, the maximum number of
// attempts or the time left for a retry is used up.
type RetriesExhaustedError struct {
	Attempts int
	// Cause is the failure of the last attempt.
	Cause error
}

// Error implements error.
func (e *RetriesExhaustedError) Error() string {
	return fmt.Sprintf("no retry is left after %d attempts: %v", e.Attempts, e.Cause)
}

// Unwrap returns the cause.
func (e *RetriesExhaustedError) Unwrap() error { return e.Cause }

// MovedError reports that an attempt was cancelled to continue the stream on another
// backend server.
type MovedError struct {
	Backend string
}

// Error implements error.
func (e *MovedError) Error() string { return fmt.Sprintf("the stream moves away from %s", e.Backend) }

// BrokenStreamError reports that a stream broke off and cannot be continued.
type BrokenStreamError struct {
	Backend string
	Cause   error
}

// Error implements error.
func (e *BrokenStreamError) Error() string {
	return fmt.Sprintf("stream of %s cannot be continued: %v", e.Backend, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenStreamError) Unwrap() error { return e.Cause }

// CollectError reports that a stream has content that cannot be assembled into a
// non-streaming response. The request is sent again without streaming.
type CollectError struct {
	Backend string
}

// Error implements error.
func (e *CollectError) Error() string {
	return fmt.Sprintf("the stream of %s cannot be collected", e.Backend)
}

// HedgeLostError reports that an attempt was cancelled because another attempt of the
// request delivered data first.
type HedgeLostError struct {
	Backend string
}

// Error implements error.
func (e *HedgeLostError) Error() string {
	return fmt.Sprintf("another attempt was faster than that at %s", e.Backend)
}
