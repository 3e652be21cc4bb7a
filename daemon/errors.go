package daemon

import (
	"fmt"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// AnswerLostError says that the winner of a claim has no answer to it.
type AnswerLostError struct {
	Key    claim.Key
	Daemon string
}

// Error implements error.
func (e *AnswerLostError) Error() string {
	return fmt.Sprintf("daemon %s no longer has the answer for key %s", e.Daemon, e.Key)
}

// OutcomeError says that a peer named an outcome that does not exist.
type OutcomeError struct {
	Text string
}

// Error implements error.
func (e *OutcomeError) Error() string { return fmt.Sprintf("%q is not an outcome", e.Text) }

// ListenError says that an address could not be bound.
type ListenError struct {
	Listener string
	Address  string
	Cause    error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listener %s can't bind %s: %v", e.Listener, e.Address, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *ListenError) Unwrap() error { return e.Cause }

// NotReadyError says which part keeps the daemon from taking requests.
type NotReadyError struct {
	Part string
}

// Error implements error.
func (e *NotReadyError) Error() string { return e.Part + " is not ready" }
