package order

import "fmt"

// LapsedError says that the lease has lapsed before an order.
type LapsedError struct {
	// Number is that of the lease.
	Number uint64
}

// Error implements error.
func (e *LapsedError) Error() string { return fmt.Sprintf("lease %d has lapsed", e.Number) }
