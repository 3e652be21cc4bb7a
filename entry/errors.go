package entry

// ListenError reports that an address can't be bound.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *ListenError) Unwrap() error { return e.Cause }
