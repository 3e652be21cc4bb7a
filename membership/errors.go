package membership

// CallError says that a call to another daemon failed.
type CallError struct {
	Address string
	Call    string
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string { return e.Call + " at " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the failure underneath.
func (e *CallError) Unwrap() error { return e.Cause }

// UnknownCallError says that another daemon made a call that there is not.
type UnknownCallError struct{ Call string }

// Error implements error.
func (e *UnknownCallError) Error() string { return "unknown call " + e.Call }

// NoPeerError says that no other daemon knows more of a topic.
type NoPeerError struct{ Topic string }

// Error implements error.
func (e *NoPeerError) Error() string { return "no daemon knows more of " + e.Topic }

// ListenError says that the address for other daemons can't be bound.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the failure underneath.
func (e *ListenError) Unwrap() error { return e.Cause }
