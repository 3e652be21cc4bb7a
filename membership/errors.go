package membership

// CallError says that a call to another daemon failed.
type CallError struct {
	Address string
	Call    string
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string { return e.Call + " at " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// UnknownCallError says that another daemon made a call that is not defined.
type UnknownCallError struct{ Call string }

// Error implements error.
func (e *UnknownCallError) Error() string { return "unknown call " + e.Call }

// NoPeerError says that no reachable daemon has reported its copy of a topic.
type NoPeerError struct{ Topic string }

// Error implements error.
func (e *NoPeerError) Error() string { return "no reachable daemon has records of topic " + e.Topic }

// ListenError says that the address for calls of other daemons can't be bound.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
