package backend

import "fmt"

// FaultKind says how an exchange with a backend server went wrong.
type FaultKind string

const (
	// Refused means that no connection could be made.
	Refused FaultKind = "Refused"
	// Closed means that the connection ended before an answer began.
	Closed FaultKind = "Closed"
	// Truncated means that an answer began and did not reach its end.
	Truncated FaultKind = "Truncated"
	// Foreign means that the answer belongs to another request.
	Foreign FaultKind = "Foreign"
	// Malformed means that the answer breaks its protocol.
	Malformed FaultKind = "Malformed"
	// TooLarge means that the answer is longer than the bound.
	TooLarge FaultKind = "TooLarge"
	// Silent means that no byte came for longer than the bound on silence.
	Silent FaultKind = "Silent"
	// Cancelled means that the daemon ended the exchange itself.
	Cancelled FaultKind = "Cancelled"
)

// FaultError says that an exchange has failed. Its connection is closed, and
// no byte will be written to it any more.
type FaultError struct {
	Backend string
	Kind    FaultKind
	// Written is false only with proof that no byte was written.
	Written bool
	// Reused is true when the connection had served an earlier call.
	Reused bool
	// Cause is the failure underneath; it may be nil.
	Cause error
}

// Error implements error.
func (e *FaultError) Error() string {
	return fmt.Sprintf("exchange with %s failed: %s (written: %t): %v", e.Backend, e.Kind, e.Written, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *FaultError) Unwrap() error { return e.Cause }

// IsCrash reports whether the fault looks like a crash of the backend server.
// A reused connection may have been closed for being idle.
func (e *FaultError) IsCrash() bool {
	return e.Written && (e.Kind == Truncated || e.Kind == Closed && !e.Reused)
}

// SilentError is the cause of a Silent fault.
type SilentError struct{}

// Error implements error.
func (*SilentError) Error() string { return "no byte came within the bound on silence" }

// SealedError says that an attempt is over and may not write.
type SealedError struct{}

// Error implements error.
func (*SealedError) Error() string { return "the attempt is over" }

// IdentityError says that an answer names another request.
type IdentityError struct {
	Want string
	Got  string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("answer for %q came for request %q", e.Got, e.Want)
}

// LengthError says that an answer is longer than the bound.
type LengthError struct {
	Bytes int
}

// Error implements error.
func (e *LengthError) Error() string { return fmt.Sprintf("answer exceeds %d bytes", e.Bytes) }

// UndelimitedError says that an answer has neither a length nor a chunk
// terminator, so that its end cannot be told from a lost connection.
type UndelimitedError struct{}

// Error implements error.
func (*UndelimitedError) Error() string { return "answer has no delimited end" }

// ContentTypeError says that a stream was asked for and something else came.
type ContentTypeError struct {
	ContentType string
}

// Error implements error.
func (e *ContentTypeError) Error() string {
	return fmt.Sprintf("content type %q is not a stream of events", e.ContentType)
}
