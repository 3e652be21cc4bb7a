package upstream

import (
	"fmt"
	"time"
)

// UnwrittenError means that a request failed before any byte of it was written, and
// that none will be written.
type UnwrittenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *UnwrittenError) Error() string {
	return fmt.Sprintf("nothing was written to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnwrittenError) Unwrap() error { return e.Cause }

// DialError means that connecting to a runner failed.
type DialError struct{ Cause error }

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("no connection: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// InvalidAnswerError means that a request was written, but its answer was incomplete or
// was not an answer to it.
type InvalidAnswerError struct {
	Address string
	// Reused is true if the connection had carried an earlier request, so that the
	// runner may have closed it as idle.
	Reused bool
	// Idle is how long a reused connection had been idle.
	Idle time.Duration
	// Stale is true if the runner has probably dropped the connection while it was idle.
	Stale bool
	Cause error
}

// Error implements error.
func (e *InvalidAnswerError) Error() string {
	if e.Stale {
		return fmt.Sprintf("the connection to %s was reset after it had been idle for %v: %v", e.Address, e.Idle, e.Cause)
	}
	return fmt.Sprintf("the answer of %s broke off: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidAnswerError) Unwrap() error { return e.Cause }

// UnprovedEndError means that a body without a length or chunks has ended with its connection while
// the request was still being written, and that the writing failed. The connection may have been
// reset.
type UnprovedEndError struct {
	// Cause is the failure of the writing.
	Cause error
}

// Error implements error.
func (e *UnprovedEndError) Error() string {
	return fmt.Sprintf("the body has no length, and its connection ended before the request was written: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnprovedEndError) Unwrap() error { return e.Cause }

// WriteTimeoutError means that a runner did not read its request in time after its answer had
// ended.
type WriteTimeoutError struct{ Timeout time.Duration }

// Error implements error.
func (e *WriteTimeoutError) Error() string {
	return fmt.Sprintf("the request was not read within %v after the answer", e.Timeout)
}

// ConnectionLimitError means that the limit on connections from this daemon to a runner is
// reached.
type ConnectionLimitError struct{ Limit int }

// Error implements error.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("all %d connections are in use", e.Limit)
}

// AnswerTooLargeError means that the body of an answer is larger than allowed.
type AnswerTooLargeError struct{ Limit int }

// Error implements error.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("the answer has over %d bytes", e.Limit)
}

// HeaderTooLargeError means that the header of an answer is larger than allowed.
type HeaderTooLargeError struct{}

// Error implements error.
func (*HeaderTooLargeError) Error() string { return "the head of the answer is too long" }

// HeaderTimeoutError means that a header did not end in time after its first byte.
type HeaderTimeoutError struct{ Timeout time.Duration }

// Error implements error.
func (e *HeaderTimeoutError) Error() string {
	return fmt.Sprintf("the head of the answer did not end within %v", e.Timeout)
}

// InterimAnswersError means that a runner sent more interim answers than allowed.
type InterimAnswersError struct{ Limit int }

// Error implements error.
func (e *InterimAnswersError) Error() string {
	return fmt.Sprintf("over %d interim answers", e.Limit)
}

// ProtocolError means that what a runner sent is no HTTP/1 answer.
type ProtocolError struct {
	// Begin holds the first bytes.
	Begin string
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("what begins with %q is no HTTP answer", e.Begin)
}

// SecondHeadError means that a head has broken off within a line, and that another answer begins
// there.
type SecondHeadError struct {
	// StatusLine holds the protocol and the status of the other answer.
	StatusLine string
}

// Error implements error.
func (e *SecondHeadError) Error() string {
	return fmt.Sprintf("another answer begins within the head of the answer: %q", e.StatusLine)
}

// FieldNameError means that the name of a field in a head contains white space, so that a field
// that frames the body may be damaged.
type FieldNameError struct{ Name string }

// Error implements error.
func (e *FieldNameError) Error() string {
	return fmt.Sprintf("the head of the answer has a field with the name %.40q", e.Name)
}

// TransferCodingError means that an answer of HTTP/1.0 has a transfer coding, which that
// protocol does not know.
type TransferCodingError struct{}

// Error implements error.
func (*TransferCodingError) Error() string { return "an HTTP/1.0 answer has a transfer coding" }
