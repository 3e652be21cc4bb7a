package route

import (
	"fmt"
	"time"
)

// NoBackendError reports that no runner is allowed for a call.
type NoBackendError struct {
	// Known counts the runners that the daemon knows.
	Known int
}

// Error implements error.
func (e *NoBackendError) Error() string {
	return fmt.Sprintf("none of %d backend servers is allowed", e.Known)
}

// OverloadError reports that a call is refused because no runner could answer it
// within its latency target.
type OverloadError struct {
	// Priority is the priority of the call.
	Priority int
	// Load is the load of the least loaded runner; 1 is at the latency target.
	Load float64
	// RetryAfter is the time in which the runners should complete the excess
	// calls.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("runners are at %.2f of the latency target, priority %d has to wait %s",
		e.Load, e.Priority, e.RetryAfter)
}
