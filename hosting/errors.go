package hosting

import "fmt"

// UnavailableError says that a platform service did not take a request. The
// request has had no effect.
type UnavailableError struct {
	// Service is the name of the platform service.
	Service string
	// Cause is the failure underneath; it may be nil.
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s is unavailable: %v", e.Service, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UncertainError says that the answer to a request was lost. The request may
// have taken effect.
type UncertainError struct {
	// Service is the name of the platform service.
	Service string
	// Cause is the failure underneath; it may be nil.
	Cause error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("%s may have carried out the request: %v", e.Service, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *UncertainError) Unwrap() error { return e.Cause }

// TrimmedError says that retention has removed the records that were asked
// for.
type TrimmedError struct {
	Stream string
	// From is the offset that was asked for.
	From uint64
	// First is the oldest offset that the log still keeps.
	First uint64
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s starts at offset %d, offset %d was asked for", e.Stream, e.First, e.From)
}

// RefusedError says that the cloud has no capacity for a VM.
type RefusedError struct {
	Zone  string
	Class string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the cloud refused a VM of class %s in zone %s", e.Class, e.Zone)
}

// FencedError says that an engine refused an order with an old fencing
// number.
type FencedError struct {
	// Fencing is the number of the refused order.
	Fencing uint64
	// Seen is the highest number that the engine has seen.
	Seen uint64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("fencing number %d is older than %d", e.Fencing, e.Seen)
}

// ThrottledError says that the log service refused an append for its rate.
// Nothing was appended.
type ThrottledError struct {
	Service string
}

// Error implements error.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("%s refused the request for its rate", e.Service)
}
