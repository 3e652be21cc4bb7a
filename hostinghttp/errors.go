package hostinghttp

import "fmt"

// StatusError says that a service answered with a status that is no success.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the answer has status %d", e.Status)
}
