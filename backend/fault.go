package backend

import (
	"errors"
	"fmt"
)

// FaultKind is the way in which an exchange with a backend server failed.
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
	// Malformed means that the request or the answer violates the protocol.
	Malformed FaultKind = "Malformed"
	// TooLarge means that the answer exceeds the size limit.
	TooLarge FaultKind = "TooLarge"
	// Silent means that no data was received within the silence timeout.
	Silent FaultKind = "Silent"
	// Cancelled means that the daemon ended the exchange itself.
	Cancelled FaultKind = "Cancelled"
)

// FaultError is returned for a failed exchange. Its connection is closed, and no
// further byte will be written to it.
type FaultError struct {
	Backend string
	Kind    FaultKind
	// MaybeWritten is true unless it is certain that no byte of the request was
	// written.
	MaybeWritten bool
	// Reused is true when the connection had served an earlier call.
	Reused bool
	// Cause is the underlying failure; it may be nil.
	Cause error
}

// Error implements error.
func (e *FaultError) Error() string {
	return fmt.Sprintf("exchange with %s failed: %s (written: %t): %v", e.Backend, e.Kind, e.MaybeWritten, e.Cause)
}

// Unwrap returns the cause.
func (e *FaultError) Unwrap() error { return e.Cause }

// IsCrash reports whether the fault looks like a crash of the backend server. A
// reused connection that was closed does not count, since the server may have
// closed it as idle. Neither does a connection that timed out, since the network
// may have failed.
func (e *FaultError) IsCrash() bool {
	if !e.MaybeWritten || isTimeout(e.Cause) {
		return false
	}
	return e.Kind == Truncated || e.Kind == Closed && !e.Reused
}

// isTimeout reports whether an error is a timeout of a connection.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// SilentError is the cause of a Silent fault.
type SilentError struct{}

// Error implements error.
func (*SilentError) Error() string { return "no data came within the bound on silence" }

// SealedError means that an attempt has ended and may not write any more.
type SealedError struct{}

// Error implements error.
func (*SealedError) Error() string { return "the attempt is over" }

// RequestIDMismatchError means that an answer carries the ID of another request.
type RequestIDMismatchError struct {
	Want string
	Got  string
}

// Error implements error.
func (e *RequestIDMismatchError) Error() string {
	return fmt.Sprintf("answer for %q came for request %q", e.Got, e.Want)
}

// LengthError means that an answer is larger than Bytes, the size limit.
type LengthError struct {
	Bytes int
}

// Error implements error.
func (e *LengthError) Error() string { return fmt.Sprintf("answer exceeds %d bytes", e.Bytes) }

// UndelimitedError means that an answer has neither a length nor a chunk
// terminator, so that its end cannot be distinguished from a lost
// connection.
type UndelimitedError struct{}

// Error implements error.
func (*UndelimitedError) Error() string { return "answer has no delimited end" }

// ContentTypeError means that the answer to a streaming request is not a stream.
type ContentTypeError struct {
	ContentType string
}

// Error implements error.
func (e *ContentTypeError) Error() string {
	return fmt.Sprintf("content type %q is not a stream of events", e.ContentType)
}

// EmptyStreamError means that a stream ended before its first event with a chunk.
type EmptyStreamError struct{}

// Error implements error.
func (*EmptyStreamError) Error() string { return "the stream has no event but its end" }

// DrainTimeoutError means that the rest of an answer did not arrive in time.
type DrainTimeoutError struct{}

// Error implements error.
func (*DrainTimeoutError) Error() string { return "the rest of the answer did not arrive in time" }

// ClientClosedError means that the client has been closed.
type ClientClosedError struct{}

// Error implements error.
func (*ClientClosedError) Error() string { return "the client is closed" }
