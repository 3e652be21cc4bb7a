// Package answer stores the recent final responses of claimed requests, so that a
// request that is sent again with the same idempotency key gets the first
// response.
package answer

import (
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// Answer is the final response to a request.
type Answer struct {
	Key     claim.Key
	Outcome request.Outcome
	Status  int
	Header  request.Header
	Body    []byte
	// RetryAfter is how long the caller should wait before a retry; zero means
	// that a retry does not help.
	RetryAfter time.Duration
}

// size estimates the memory use of the answer in bytes.
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

// NotFoundError reports that the store has no answer for the key, and none is
// pending.
type NotFoundError struct {
	Key claim.Key
}

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no answer for key %s", e.Key) }

// WaitError reports that the context ended before the answer arrived.
type WaitError struct {
	Key   claim.Key
	Cause error
}

// Error implements error.
func (e *WaitError) Error() string {
	return fmt.Sprintf("wait for the answer of key %s ended: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *WaitError) Unwrap() error { return e.Cause }
