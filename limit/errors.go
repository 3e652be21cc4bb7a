// Package limit holds the limits of plans over all daemons by counting
// locally against shares that follow demand. It has no input or output.
package limit

import (
	"fmt"
	"time"
)

// ExceededError says that a plan's limit is reached.
type ExceededError struct {
	// Plan is the name of the plan.
	Plan string
	// Limit is the field of the plan that holds the limit.
	Limit string
	// RetryAfter is when the limit has room again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("plan %s is at its limit %s, free in %s", e.Plan, e.Limit, e.RetryAfter)
}
