package dispatch

import (
	"errors"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/request"
)

// StatusClientClosedRequest is the status of results whose caller has
// disconnected. It is nonstandard, but common among proxies such as nginx.
const StatusClientClosedRequest = 499

// Result is the final result of a request.
type Result struct {
	Outcome request.Outcome
	// Status is the HTTP status of the response, or the status that corresponds
	// to Problem.
	Status int
	// RetryAfter is how long the caller should wait before a retry; zero means
	// that a retry does not help.
	RetryAfter time.Duration
	// Problem is the reason why there is no complete response. It is nil if and
	// only if Outcome is Answered.
	Problem error
	// HeadWritten is true when the Writer's Head was called. If Problem is set too, the
	// stream broke off, and the failure has to be reported within the stream.
	HeadWritten bool
	// Backend is the VM name of the backend server of the last attempt, if any.
	Backend string
	// Relayed is true when the response was produced by another request with the
	// same key.
	Relayed bool
}

// statusOf returns the HTTP status for the problem of a request, and whether a later
// retry can help. A problem after an attempt that may have been written gets no status
// that callers take for "not run".
func statusOf(problem error, isMaybeWritten bool) (status int, retryable bool) {
	status, retryable = problemStatus(problem)
	isPromise := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if isMaybeWritten && isPromise {
		return http.StatusBadGateway, retryable
	}
	return status, retryable
}

// problemStatus returns the HTTP status for a problem of a request that was not written,
// and whether a later retry can help.
func problemStatus(problem error) (int, bool) {
	var (
		overload *OverloadError
		suspect  *SuspectError
		conflict *ConflictError
		deadline *DeadlineError
		caller   *CallerGoneError
		relay    *RelayError
		broken   *BrokenStreamError
	)
	switch {
	case errors.As(problem, &overload):
		return http.StatusTooManyRequests, true
	case errors.As(problem, &suspect), errors.As(problem, &conflict):
		return http.StatusUnprocessableEntity, false
	case errors.As(problem, &deadline):
		return http.StatusGatewayTimeout, true
	case errors.As(problem, &caller):
		return StatusClientClosedRequest, false
	case errors.As(problem, &relay), errors.As(problem, &broken):
		return http.StatusBadGateway, true
	default:
		return http.StatusServiceUnavailable, true
	}
}

// retryAfterOf returns the wait that the problem specifies, or fallback.
func retryAfterOf(problem error, fallback time.Duration) time.Duration {
	var overload *OverloadError
	if errors.As(problem, &overload) && overload.RetryAfter > 0 {
		return overload.RetryAfter
	}
	var busy *BusyError
	if errors.As(problem, &busy) && busy.RetryAfter > 0 {
		return busy.RetryAfter
	}
	return fallback
}
