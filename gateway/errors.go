package gateway

import (
	"fmt"
	"time"
)

// DeadlineError says that the time for a request has passed.
type DeadlineError struct{ Patience time.Duration }

// Error implements error.
func (e *DeadlineError) Error() string { return fmt.Sprintf("no answer within %v", e.Patience) }

// SilentError says that an attempt was given up since its runner sent nothing.
type SilentError struct{ Runner string }

// Error implements error.
func (e *SilentError) Error() string { return "runner " + e.Runner + " is silent" }

// ForeignAnswerError says that an answer belongs to another request.
type ForeignAnswerError struct{ Want, Got string }

// Error implements error.
func (e *ForeignAnswerError) Error() string {
	return "the answer to " + e.Got + " came for " + e.Want
}

// UnsignedError says that a success does not bear its runner's signature.
type UnsignedError struct{ Runner string }

// Error implements error.
func (e *UnsignedError) Error() string { return "runner " + e.Runner + " did not sign its answer" }

// RejectedError says that a runner did not run a request.
type RejectedError struct {
	Runner string
	Status int
	// Replaced is true when another runner has the address.
	Replaced bool
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("runner %s did not run the request, status %d", e.Runner, e.Status)
}

// StatusError says that a runner ran a request and failed.
type StatusError struct {
	Runner string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("runner %s failed with status %d", e.Runner, e.Status)
}

// EventError says that a stream has an event that does not follow the last one.
type EventError struct{ Want, Got int }

// Error implements error.
func (e *EventError) Error() string {
	return fmt.Sprintf("event %d came in place of %d", e.Got, e.Want)
}

// LongEventError says that an event of a stream is larger than allowed.
type LongEventError struct{ Bytes int }

// Error implements error.
func (e *LongEventError) Error() string { return fmt.Sprintf("an event has over %d bytes", e.Bytes) }

// LostRunError says that a stopped run can't go on anywhere.
type LostRunError struct{ Runner string }

// Error implements error.
func (e *LostRunError) Error() string { return "the run that was stopped at " + e.Runner + " is lost" }
