package order

import "fmt"

// LapsedError says that the lease lapsed before an order was sent.
type LapsedError struct {
	// Number is the number of the lease.
	Number uint64
}

// Error implements error.
func (e *LapsedError) Error() string { return fmt.Sprintf("lease %d has lapsed", e.Number) }
