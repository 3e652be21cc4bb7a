package hostinghttp

import "fmt"

// StatusError reports that a service responded with a status outside 200 to 299.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the answer has status %d", e.Status)
}
