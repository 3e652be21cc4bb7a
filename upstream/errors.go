package upstream

import "fmt"

// UnwrittenError says that an attempt failed before any byte of the request was
// written, and that none will be.
type UnwrittenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *UnwrittenError) Error() string {
	return fmt.Sprintf("nothing was written to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *UnwrittenError) Unwrap() error { return e.Cause }

// DialError says that no connection could be made.
type DialError struct{ Cause error }

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("no connection: %v", e.Cause) }

// Unwrap returns the failure underneath.
func (e *DialError) Unwrap() error { return e.Cause }

// BrokenError says that a request was written and its answer did not arrive
// whole, or is not an answer to it.
type BrokenError struct {
	Address string
	// Reused is true when the connection had carried an earlier request, so
	// that the other end may have closed it for being idle.
	Reused bool
	Cause  error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("the answer of %s broke off: %v", e.Address, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *BrokenError) Unwrap() error { return e.Cause }

// FullError says that a runner already has all the connections that this
// daemon may open to it.
type FullError struct{ Most int }

// Error implements error.
func (e *FullError) Error() string { return fmt.Sprintf("all %d connections are in use", e.Most) }

// LongAnswerError says that the body of an answer is larger than allowed.
type LongAnswerError struct{ Most int }

// Error implements error.
func (e *LongAnswerError) Error() string { return fmt.Sprintf("the answer has over %d bytes", e.Most) }

// LongHeadError says that the head of an answer is larger than allowed.
type LongHeadError struct{}

// Error implements error.
func (*LongHeadError) Error() string { return "the head of the answer is too long" }
