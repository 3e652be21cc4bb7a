package gateway

import (
	"net/http"
	"time"
)

// Refusal is an answer of the daemon's own to a request.
type Refusal struct {
	Status int
	// Reason names the cause for logs and counters.
	Reason string
	// RetryAfter is zero when coming back does not help.
	RetryAfter time.Duration
	// Cause is the failure underneath, or nil.
	Cause error
}

// The usual waits that callers are told.
const (
	// waitForStart is for a daemon that knows no configuration yet.
	waitForStart = 500 * time.Millisecond
	// waitForRunner is for a service without a runner that takes requests.
	waitForRunner = 500 * time.Millisecond
	// waitForRoom is for a service all of whose runners are full.
	waitForRoom = 250 * time.Millisecond
)

func unavailable(reason string, retryAfter time.Duration, cause error) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter, Cause: cause}
}

func denied(status int, reason string, cause error) *Refusal {
	return &Refusal{Status: status, Reason: reason, Cause: cause}
}
