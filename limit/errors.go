// Package limit enforces the limits of plans over all daemons. Each daemon counts
// locally against a share of the limit that follows demand. It performs no I/O.
package limit

import (
	"fmt"
	"time"
)

// ExceededError reports that a plan's limit is reached.
type ExceededError struct {
	// Plan is the name of the plan.
	Plan string
	// Limit is the name of the plan's field with the limit.
	Limit string
	// RetryAfter is the time until the limit allows the request.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("plan %s is at its limit %s, free in %s", e.Plan, e.Limit, e.RetryAfter)
}
