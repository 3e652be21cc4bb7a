package gateway

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// DeadlineError reports that the deadline of a request has passed.
type DeadlineError struct{ Timeout time.Duration }

// Error implements error.
func (e *DeadlineError) Error() string { return fmt.Sprintf("no response within %v", e.Timeout) }

// AttemptTimeoutError reports that an attempt was abandoned because its runner sent
// nothing in time and another runner has accepted the request.
type AttemptTimeoutError struct{ Runner string }

// Error implements error.
func (e *AttemptTimeoutError) Error() string { return "runner " + e.Runner + " sent no data in time" }

// CallerWriteError reports that an event could not be written to the caller.
type CallerWriteError struct{ Cause error }

// Error implements error.
func (e *CallerWriteError) Error() string { return "could not write to the caller: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallerWriteError) Unwrap() error { return e.Cause }

// SlowCallerError reports that a caller took too long to read a part of its answer or to send a part of
// its request.
type SlowCallerError struct{}

// Error implements error.
func (*SlowCallerError) Error() string { return "the caller reads or sends too slowly" }

// isSlowCaller reports whether a failure is a *SlowCallerError.
func isSlowCaller(failure error) bool {
	var slow *SlowCallerError
	return errors.As(failure, &slow)
}

// isCallerWriteFailure reports whether a failure is a *CallerWriteError.
func isCallerWriteFailure(failure error) bool {
	var unwritten *CallerWriteError
	return errors.As(failure, &unwritten)
}

// MismatchedAnswerError reports that a response belongs to another request.
type MismatchedAnswerError struct{ Want, Got string }

// Error implements error.
func (e *MismatchedAnswerError) Error() string {
	return fmt.Sprintf("got the response to request %.*s for request %s", maxLoggedIDBytes, e.Got, e.Want)
}

// UnsignedError reports that a response lacks its runner's signature or the ID of
// the request.
type UnsignedError struct{ Runner string }

// Error implements error.
func (e *UnsignedError) Error() string {
	return "response of runner " + e.Runner + " has no signature or no request ID"
}

// ContradictoryAnswerError reports that a response says that the request was not run, and has the
// signature of a run.
type ContradictoryAnswerError struct {
	Runner string
	Status int
}

// Error implements error.
func (e *ContradictoryAnswerError) Error() string {
	return fmt.Sprintf("runner %s rejected the request with status %d and signed the response as that of a run", e.Runner, e.Status)
}

// RejectedError reports that a runner rejected a request without running it.
type RejectedError struct {
	Runner string
	Status int
	// Replaced is true when another runner has the address.
	Replaced bool
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("runner %s rejected the request with status %d", e.Runner, e.Status)
}

// StatusError reports that a runner ran a request and failed.
type StatusError struct {
	Runner string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("runner %s failed with status %d", e.Runner, e.Status)
}

// NotAStreamError reports that a runner sent something else than a stream with the status of one.
type NotAStreamError struct {
	Runner string
	// MediaType is empty if the response names none.
	MediaType string
}

// Error implements error.
func (e *NotAStreamError) Error() string {
	return fmt.Sprintf("runner %s sent %q in place of a stream", e.Runner, e.MediaType)
}

// EventOrderError reports that the ID of an event does not follow the previous one.
type EventOrderError struct{ Want, Got int }

// Error implements error.
func (e *EventOrderError) Error() string {
	return fmt.Sprintf("got event %d, want %d", e.Got, e.Want)
}

// MissingEventIDError reports that an event has no ID, or none that is a number.
type MissingEventIDError struct{ Want int }

// Error implements error.
func (e *MissingEventIDError) Error() string {
	return fmt.Sprintf("got an event without a number, want %d", e.Want)
}

// RecordTimeoutError reports that the store did not take the record of a stream's version in time.
type RecordTimeoutError struct{ Version string }

// Error implements error.
func (e *RecordTimeoutError) Error() string {
	return "the version " + e.Version + " of the stream could not be recorded in time"
}

// RecordUnavailableError reports that a stream is not begun since the record of its version can't be
// written.
type RecordUnavailableError struct{ Version string }

// Error implements error.
func (e *RecordUnavailableError) Error() string {
	return "records of streams of the version " + e.Version + " can't be written"
}

// InvalidLineError reports a line in a stream that is neither empty nor a comment nor a field.
type InvalidLineError struct {
	// Begin holds the first bytes of the line.
	Begin string
}

// Error implements error.
func (e *InvalidLineError) Error() string {
	return fmt.Sprintf("what begins with %q is no line of a stream", e.Begin)
}

// LineEndError reports that a line of a stream ends in another way than those before.
type LineEndError struct{}

// Error implements error.
func (*LineEndError) Error() string { return "the lines of the stream end with LF and with CR LF" }

// EventTooLargeError reports that an event of a stream exceeds the size limit.
type EventTooLargeError struct{ Bytes int }

// Error implements error.
func (e *EventTooLargeError) Error() string { return fmt.Sprintf("event exceeds %d bytes", e.Bytes) }

// NoEventError reports that a runner sent too many bytes without an event.
type NoEventError struct{ Bytes int }

// Error implements error.
func (e *NoEventError) Error() string { return fmt.Sprintf("no event in over %d bytes", e.Bytes) }

// FieldsWithoutEventError reports that a stream had fields, but ended without an event.
type FieldsWithoutEventError struct{}

// Error implements error.
func (*FieldsWithoutEventError) Error() string { return "the stream ended with fields, but no event" }

// RunLostError reports that no runner can continue a stopped run.
type RunLostError struct{ Runner string }

// Error implements error.
func (e *RunLostError) Error() string {
	return "the run that was stopped at runner " + e.Runner + " is lost"
}

// NotMovedError reports why a stream was not moved, if no call to a runner failed.
type NotMovedError struct{ Reason string }

// Error implements error.
func (e *NotMovedError) Error() string { return e.Reason }

// CrashingTraitsError means that requests with all of the traits, which are segments of a prompt or
// the content of the request, crash the runners that answer them.
type CrashingTraitsError struct{ Traits []string }

// Error implements error.
func (e *CrashingTraitsError) Error() string {
	return "requests with " + strings.Join(e.Traits, ", ") + " crash runners"
}
