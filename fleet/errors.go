package fleet

import (
	"fmt"
	"time"
)

// StartError says that a program could not be started.
type StartError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *StartError) Error() string {
	return fmt.Sprintf("%s could not be started: %v", e.Name, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *StartError) Unwrap() error { return e.Cause }

// ExitedError says that a program ended before it listened.
type ExitedError struct {
	Name    string
	Code    int
	LogFile string
}

// Error implements error.
func (e *ExitedError) Error() string {
	return fmt.Sprintf("%s ended with code %d, its log is %s", e.Name, e.Code, e.LogFile)
}

// TimeoutError says that a step took too long.
type TimeoutError struct {
	Name    string
	Step    string
	Timeout time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s: %s took longer than %s", e.Name, e.Step, e.Timeout)
}

// StatusError says that a program answered a control request with a failure.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.URL, e.Status, e.Body)
}

// NoAddressError says that every port of the fleet is taken.
type NoAddressError struct{}

// Error implements error.
func (e *NoAddressError) Error() string { return "no loopback port is free" }
