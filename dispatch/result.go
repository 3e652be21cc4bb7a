package dispatch

import (
	"errors"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/request"
)

// StatusCallerGone is the status in results whose caller has gone.
const StatusCallerGone = 499

// Result is the end of a request.
type Result struct {
	Outcome request.Outcome
	// Status is the HTTP status of the answer, or the one that fits Problem.
	Status int
	// RetryAfter is how long the caller should wait before it comes back;
	// zero means that coming back does not help.
	RetryAfter time.Duration
	// Problem says why there is no whole answer. It is nil if and only if
	// Outcome is Answered.
	Problem error
	// Began is true when the Writer's Head has been called. With a Problem
	// the stream has broken off, and the caller has to be told inside it.
	Began bool
	// Backend is the VM name of the last backend server, if any.
	Backend string
	// Relayed is true when another sending of the same key gave the answer.
	Relayed bool
}

// statusOf returns the HTTP status that fits a problem, and whether coming
// back later helps.
func statusOf(problem error) (int, bool) {
	var (
		overload *OverloadError
		suspect  *SuspectError
		conflict *ConflictError
		deadline *DeadlineError
		caller   *CallerError
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
		return StatusCallerGone, false
	case errors.As(problem, &relay), errors.As(problem, &broken):
		return http.StatusBadGateway, true
	default:
		return http.StatusServiceUnavailable, true
	}
}

// retryAfterOf returns the wait that the problem itself names.
func retryAfterOf(problem error, otherwise time.Duration) time.Duration {
	var overload *OverloadError
	if errors.As(problem, &overload) && overload.RetryAfter > 0 {
		return overload.RetryAfter
	}
	var busy *BusyError
	if errors.As(problem, &busy) && busy.RetryAfter > 0 {
		return busy.RetryAfter
	}
	return otherwise
}
