// Package duty decides which daemon carries out the duties that only one may
// carry out at a time, and what has been decided under them. Its state is the
// fold of a log that only grows. It has no input or output.
package duty

import (
	"context"
	"fmt"
)

// Report is the usage of one window.
type Report struct {
	// Window is the number of the window since 1970.
	Window int64
	// Counts holds the requests that began to run, by customer.
	Counts map[string]int64
}

// Order asks for a number of runners of a service in a zone.
type Order struct {
	Service     string
	Zone        string
	Reclaimable bool
	Count       int
}

// Platform carries out what the holder of the duties decides. Each call fails
// with an *UncertainError, a *ConflictError or a *RefusedError.
type Platform interface {
	ReportUsage(ctx context.Context, fence uint64, report Report) error
	Order(ctx context.Context, fence uint64, order Order) error
}

// UncertainError says that a call got no answer and may still be carried out.
type UncertainError struct {
	Call  string
	Cause error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return "call " + e.Call + " got no answer: " + e.Cause.Error()
}

// Unwrap returns the failure underneath.
func (e *UncertainError) Unwrap() error { return e.Cause }

// ConflictError says that a call had no effect: its fencing number is out of
// date, or what it orders is not to be had.
type ConflictError struct {
	Call   string
	Detail string
}

// Error implements error.
func (e *ConflictError) Error() string { return "call " + e.Call + " conflicts: " + e.Detail }

// RefusedError says that a call had no effect for now.
type RefusedError struct {
	Call   string
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("call %s was refused with status %d", e.Call, e.Status)
}
