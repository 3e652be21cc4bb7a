package buffer

import "fmt"

// ExhaustedError means that the buffer of an account held the most bytes when the limit on
// the sum was exceeded.
type ExhaustedError struct {
	Owner string
	// Bytes is what the account held.
	Bytes      int
	LimitBytes int
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("what %s sends holds %d bytes, the most when the limit of %d bytes was exceeded", e.Owner, e.Bytes, e.LimitBytes)
}
