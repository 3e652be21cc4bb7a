package front

import (
	"errors"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/limit"
	"github.com/cranberrywalk/cranberrywalk/plan"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// notReadyRetryAfter is the Retry-After of a daemon that is starting or overloaded.
const notReadyRetryAfter = time.Second

// problemFromError describes the refusal of a request before it was dispatched.
// Nothing was sent to a backend server for it.
func problemFromError(err error) Problem {
	problem := Problem{Detail: err.Error(), Outcome: request.NotRun.String()}
	var (
		field     *FieldError
		tooLarge  *BodyTooLargeError
		forbidden *plan.ForbiddenError
		allowance *plan.NoAllowanceError
		exceeded  *limit.ExceededError
	)
	switch {
	case errors.As(err, &field):
		problem.set("InvalidField", http.StatusBadRequest, "A field of the request is wrong")
		problem.Field = field.Field
	case errors.As(err, &tooLarge):
		problem.set("BodyTooLarge", http.StatusRequestEntityTooLarge, "The body is too large")
		problem.Field = "body"
	case errors.As(err, &forbidden):
		problem.set("Forbidden", http.StatusForbidden, "The plan does not allow the request")
		problem.List, problem.Entry, problem.Field = string(forbidden.List), forbidden.Plan, forbidden.Field
	case errors.As(err, &allowance):
		problem.set("NoAllowance", http.StatusForbidden, "The plan has no allowance")
		problem.List, problem.Entry = string(plan.ListAllowances), allowance.Plan
	case errors.As(err, &exceeded):
		problem.set("LimitExceeded", http.StatusTooManyRequests, "The plan's limit is reached")
		problem.List, problem.Entry, problem.Field = string(plan.ListPlans), exceeded.Plan, exceeded.Limit
		problem.RetryAfter = exceeded.RetryAfter
	default:
		problem.setWithoutEntry(err)
	}
	return problem
}

// setWithoutEntry fills in the problem for an error that refers to no entry of the
// operators' lists (plans and allowances).
func (p *Problem) setWithoutEntry(err error) {
	var (
		unknown *plan.UnknownCustomerError
		missing *MissingKeyError
		header  *HeaderTooLargeError
		read    *BodyReadError
		slow    *BodyTooSlowError
		noRoom  *buffer.NoRoomError
		route   *UnknownPathError
		method  *MethodNotAllowedError
	)
	switch {
	case errors.As(err, &unknown), errors.As(err, &missing):
		p.set("UnknownCustomer", http.StatusUnauthorized, "The request has no valid key")
		p.Field = "Authorization"
	case errors.As(err, &header):
		p.set("HeaderTooLarge", http.StatusRequestHeaderFieldsTooLarge, "The header is too large")
		p.Field = "header"
	case errors.As(err, &read):
		p.set("BodyUnreadable", http.StatusBadRequest, "The body could not be read")
		p.Field = "body"
	case errors.As(err, &slow):
		p.set("BodyTooSlow", http.StatusRequestTimeout, "The body has not arrived in time")
		p.Field, p.ClosesConnection = "body", true
	case errors.As(err, &noRoom):
		p.set("NoRoomForBody", http.StatusServiceUnavailable, "The body does not fit beside those of other requests")
		p.Field, p.ClosesConnection = "body", true
		p.RetryAfter = notReadyRetryAfter
	case errors.As(err, &route):
		p.set("UnknownPath", http.StatusNotFound, "There is no such path")
	case errors.As(err, &method):
		p.set("MethodNotAllowed", http.StatusMethodNotAllowed, "The path does not take this method")
	default:
		p.set("NotReady", http.StatusServiceUnavailable, "The daemon can't take the request now")
		p.RetryAfter = notReadyRetryAfter
	}
}

func (p *Problem) set(kind string, status int, title string) {
	p.Type, p.Status, p.Title = kind, status, title
}

// problemFromResult describes a request that ended without a complete answer.
func problemFromResult(result dispatch.Result) Problem {
	problem := Problem{
		Type:       "NotAnswered",
		Title:      "The request was not answered",
		Status:     result.Status,
		Outcome:    result.Outcome.String(),
		RetryAfter: result.RetryAfter,
	}
	if result.Problem != nil {
		problem.Detail = result.Problem.Error()
		problem.Type = problemType(result.Problem)
	}
	if problem.Status < http.StatusBadRequest || problem.Status > 599 {
		problem.Status = http.StatusServiceUnavailable
	}
	return problem
}

// problemType returns the type of the problem for an error of the dispatcher.
func problemType(err error) string {
	var (
		none     *dispatch.NoBackendError
		overload *dispatch.OverloadError
		draining *dispatch.DrainingError
		suspect  *dispatch.SuspectError
		conflict *dispatch.ConflictError
		claim    *dispatch.ClaimError
		relay    *dispatch.RelayError
		deadline *dispatch.DeadlineError
		broken   *dispatch.BrokenStreamError
	)
	switch {
	case errors.As(err, &none):
		return "NoBackend"
	case errors.As(err, &overload):
		return "Overloaded"
	case errors.As(err, &draining):
		return "Draining"
	case errors.As(err, &suspect):
		return "CrashesBackends"
	case errors.As(err, &conflict):
		return "KeyReused"
	case errors.As(err, &claim):
		return "ClaimUnsettled"
	case errors.As(err, &relay):
		return "AnswerElsewhere"
	case errors.As(err, &deadline):
		return "DeadlinePassed"
	case errors.As(err, &broken):
		return "StreamBroken"
	}
	return "BackendsFailed"
}
