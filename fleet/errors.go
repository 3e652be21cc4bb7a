package fleet

import (
	"fmt"
	"time"
)

// OperationError reports that a step failed: a start, a signal or a request. Name
// is the process, the URL or the kind of the message.
type OperationError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *OperationError) Error() string {
	return fmt.Sprintf("%s failed: %v", e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *OperationError) Unwrap() error { return e.Cause }

// ExitedError reports that a program exited before it listened, or that a command
// failed; LogFile is empty for a command.
type ExitedError struct {
	Name    string
	Code    int
	LogFile string
}

// Error implements error.
func (e *ExitedError) Error() string {
	return fmt.Sprintf("%s exited with code %d, log file: %s", e.Name, e.Code, e.LogFile)
}

// TimeoutError reports that a step did not finish within its timeout.
type TimeoutError struct {
	Name    string
	Step    string
	Timeout time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s: %s timed out after %s", e.Name, e.Step, e.Timeout)
}

// StatusError reports that a control request was answered with a status other than
// 2xx.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.URL, e.Status, e.Body)
}

// NoAddressError reports that every port in the range of the fleet is in use.
type NoAddressError struct{}

// Error implements error.
func (e *NoAddressError) Error() string { return "no free loopback port" }
