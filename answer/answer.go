// Package answer keeps the recent final answers of claimed requests, so that
// a request that is sent again gets the answer of its first sending.
package answer

import (
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// Answer is the final answer of a request.
type Answer struct {
	Key     claim.Key
	Outcome request.Outcome
	Status  int
	Header  request.Header
	Body    []byte
	// RetryAfter is how long the caller should wait before it comes back;
	// zero means that coming back does not help.
	RetryAfter time.Duration
}

// size estimates the memory of the answer in bytes.
func (a Answer) size() int {
	size := len(a.Key) + len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// NotFoundError says that the store neither has an answer nor expects one.
type NotFoundError struct {
	Key claim.Key
}

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no answer for key %s", e.Key) }

// WaitError says that the wait for an answer was ended early.
type WaitError struct {
	Key   claim.Key
	Cause error
}

// Error implements error.
func (e *WaitError) Error() string {
	return fmt.Sprintf("wait for the answer of key %s ended: %v", e.Key, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *WaitError) Unwrap() error { return e.Cause }
