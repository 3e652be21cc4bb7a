package daemon

import (
	"fmt"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// AnswerLostError reports that the winner of a claim no longer has the answer of
// the claimed request.
type AnswerLostError struct {
	Key    claim.Key
	Daemon string
}

// Error implements error.
func (e *AnswerLostError) Error() string {
	return fmt.Sprintf("daemon %s no longer has the answer for key %s", e.Daemon, e.Key)
}

// OutcomeError reports that a peer sent an unknown outcome.
type OutcomeError struct {
	Text string
}

// Error implements error.
func (e *OutcomeError) Error() string { return fmt.Sprintf("%q is not an outcome", e.Text) }

// ListenError reports that an address could not be bound.
type ListenError struct {
	Listener string
	Address  string
	Cause    error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listener %s can't bind %s: %v", e.Listener, e.Address, e.Cause)
}

// Unwrap returns the underlying error.
func (e *ListenError) Unwrap() error { return e.Cause }

// NotReadyError names the component that prevents the daemon from accepting
// requests.
type NotReadyError struct {
	Component string
}

// Error implements error.
func (e *NotReadyError) Error() string { return e.Component + " is not ready" }
