// Package dutylease decides which daemon holds the lease on the singleton duties, that
// is, the tasks that only one daemon may carry out at a time. It also keeps the usage
// reports that lease holders have decided. Its state is built by applying the entries of
// an append-only log. It does no I/O.
package dutylease

import (
	"context"
	"fmt"
)

// Report is the usage in one window.
type Report struct {
	// Window is the number of the window, counted from 1970.
	Window int64
	// Counts holds the number of requests that started to run, by customer.
	Counts map[string]int64
}

// ScaleOrder sets the number of runners of a service in a zone.
type ScaleOrder struct {
	Service     string
	Zone        string
	Reclaimable bool
	Count       int
}

// Platform executes the decisions of the lease holder. Each call fails with an
// *UncertainError, a *ConflictError or a *RefusedError.
type Platform interface {
	ReportUsage(ctx context.Context, fencingToken uint64, report Report) error
	Order(ctx context.Context, fencingToken uint64, order ScaleOrder) error
}

// UncertainError says that a call got no response and may still take effect.
type UncertainError struct {
	Call  string
	Cause error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return "call " + e.Call + " got no response: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// ConflictError says that a call had no effect: its fencing token is stale, or the
// ordered runners are not available.
type ConflictError struct {
	Call   string
	Detail string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "call " + e.Call + " was rejected with a conflict: " + e.Detail
}

// RefusedError says that a call had no effect and may succeed on a retry.
type RefusedError struct {
	Call   string
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("call %s was refused with status %d", e.Call, e.Status)
}
