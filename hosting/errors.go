package hosting

import "fmt"

// UnavailableError reports that a platform service did not accept a request. The
// request has had no effect.
type UnavailableError struct {
	// Service is the name of the platform service.
	Service string
	// Cause is the underlying error; it may be nil.
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s is unavailable: %v", e.Service, e.Cause)
}

// Unwrap returns the underlying error.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UncertainError reports that the response to a request was lost. The request may
// have taken effect.
type UncertainError struct {
	// Service is the name of the platform service.
	Service string
	// Cause is the underlying error; it may be nil.
	Cause error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("%s may have carried out the request: %v", e.Service, e.Cause)
}

// Unwrap returns the underlying error.
func (e *UncertainError) Unwrap() error { return e.Cause }

// TrimmedError reports that retention has removed the requested records.
type TrimmedError struct {
	Stream string
	// From is the requested offset.
	From uint64
	// First is the oldest offset that the log retains.
	First uint64
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s starts at offset %d, offset %d was asked for", e.Stream, e.First, e.From)
}

// NoCapacityError reports that the cloud has no capacity for a VM.
type NoCapacityError struct {
	Zone  string
	Class string
}

// Error implements error.
func (e *NoCapacityError) Error() string {
	return fmt.Sprintf("the cloud refused a VM of class %s in zone %s", e.Class, e.Zone)
}

// FencedError reports that an engine refused an order with a stale fencing token.
type FencedError struct {
	// Fencing is the fencing token of the refused order.
	Fencing uint64
	// Seen is the highest fencing token that the engine has seen.
	Seen uint64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("fencing token %d is older than %d", e.Fencing, e.Seen)
}

// ThrottledError reports that a platform service rate-limited a request. The request
// has had no effect.
type ThrottledError struct {
	Service string
}

// Error implements error.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("%s refused the request for its rate", e.Service)
}
