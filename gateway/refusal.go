package gateway

import (
	"net/http"
	"time"
)

// Refusal is an error response that the daemon generates itself.
type Refusal struct {
	Status int
	// Reason names the cause for logs and counters.
	Reason string
	// RetryAfter is zero when a retry does not help.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil.
	Cause error
	// hasUnreadBody is true if the body of the request was not read to its end.
	hasUnreadBody bool
}

// withUnreadBody returns a refusal before the end of the body.
func (r *Refusal) withUnreadBody() *Refusal {
	changed := *r
	changed.hasUnreadBody = true
	return &changed
}

// The values of Retry-After.
const (
	// retryAfterStart is for a daemon that has no configuration yet.
	retryAfterStart = 500 * time.Millisecond
	// retryAfterStop is for a daemon that is about to stop. Others serve the request at once.
	retryAfterStop = 50 * time.Millisecond
	// retryAfterNoRunner is for a service without a runner that accepts requests.
	retryAfterNoRunner = 500 * time.Millisecond
	// retryAfterVersionUnknown is for a stream of which the version that began it is not known yet.
	retryAfterVersionUnknown = 250 * time.Millisecond
	// retryAfterVersionGone is for a stream whose version has no runner, if it is not known how
	// long a new one takes to start.
	retryAfterVersionGone = 2 * time.Second
	// retryAfterUndecided is for a service whose roll-out is about to be undone, or of which streams can't
	// be recorded. That takes an exchange of digests and a write to the store.
	retryAfterUndecided = 500 * time.Millisecond
	// retryAfterFull is for a service whose runners are all full.
	retryAfterFull = 250 * time.Millisecond
	// retryAfterNoRoom is for a body that does not fit beside those of requests under way.
	retryAfterNoRoom = 500 * time.Millisecond
	// minRetryAfterPause and maxRetryAfterPause bound the value for a service whose
	// runners want no requests for a time. Other runners may come meanwhile.
	minRetryAfterPause = 50 * time.Millisecond
	maxRetryAfterPause = 10 * time.Second
)

// retryAfterPause returns the Retry-After for a service whose first runner wants requests
// again after a pause, or the given value if there is no pause.
func retryAfterPause(pause, otherwise time.Duration) time.Duration {
	if pause <= 0 {
		return otherwise
	}
	return min(max(pause, minRetryAfterPause), maxRetryAfterPause)
}

func unavailable(reason string, retryAfter time.Duration, cause error) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter, Cause: cause}
}

func newRefusal(status int, reason string, cause error) *Refusal {
	return &Refusal{Status: status, Reason: reason, Cause: cause}
}
