package front

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/intake"
	"github.com/cranberrywalk/cranberrywalk/plan"
	"github.com/cranberrywalk/cranberrywalk/prefix"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// Request headers that this package evaluates, and the prefix of a bearer token.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerIdempotent     = "Cranberrywalk-Idempotent"
	bearerPrefix         = "Bearer "
)

// maxKeyBytes is the maximum length of an Idempotency-Key.
const maxKeyBytes = 255

// accept checks a request against the plans in force. An error means that nothing
// was sent to a backend server. The second result counts the body of the request.
func (f *Front) accept(id string, kind request.Kind, r *http.Request) (request.Request, *buffer.Body, error) {
	state, ready := f.configuration.State()
	if !ready {
		return request.Request{}, nil, &NotReadyError{}
	}
	customer, customerPlan, allowance, err := authenticate(state, r)
	if err != nil {
		return request.Request{}, nil, err
	}
	held := f.options.Bodies.Open(customer.Name)
	body, err := f.readBody(r, held)
	if err != nil {
		return request.Request{}, held, err
	}
	now := f.Clock.Now()
	accepted := request.Request{
		ID: id, Customer: customer.Name, Plan: customerPlan.Name, Kind: kind,
		Method: r.Method, Header: forwardedHeader(r.Header), Body: body,
		Priority: allowance.Priority, Accepted: now, Deadline: now.Add(f.deadline(customerPlan)),
		FirstToken: customerPlan.FirstToken.Std(), BetweenTokens: customerPlan.BetweenTokens.Std(),
		CostWeight: customerPlan.CostWeight, RecomputeWeight: customerPlan.RecomputeWeight, Allowance: allowance,
	}
	accepted, err = f.complete(accepted, customerPlan, r)
	return accepted, held, err
}

// complete adds the target and the key of a request, and counts it against the limits of its plan.
func (f *Front) complete(accepted request.Request, customerPlan plan.Plan, r *http.Request) (request.Request, error) {
	accepted, err := withTarget(accepted, r)
	if err != nil {
		return request.Request{}, err
	}
	if accepted, err = withIdempotency(accepted, customerPlan, r.Header); err != nil {
		return request.Request{}, err
	}
	return accepted, f.admitter.Admit(customerPlan, accepted.PromptTokens+accepted.MaxTokens, accepted.Accepted)
}

func (f *Front) deadline(customerPlan plan.Plan) time.Duration {
	if customerPlan.Deadline > 0 {
		return customerPlan.Deadline.Std()
	}
	return f.options.DefaultDeadline
}

func authenticate(state plan.State, r *http.Request) (plan.Customer, plan.Plan, plan.Allowance, error) {
	authorization := r.Header.Get("Authorization")
	if !strings.HasPrefix(authorization, bearerPrefix) {
		return plan.Customer{}, plan.Plan{}, plan.Allowance{}, &MissingKeyError{}
	}
	return state.Authenticate(strings.TrimPrefix(authorization, bearerPrefix))
}

func (f *Front) readBody(r *http.Request, held *buffer.Body) ([]byte, error) {
	body, err := intake.Read(intake.Request{Content: r.Body, Length: r.ContentLength, LimitBytes: int64(f.options.MaxBodyBytes)}, held)
	var tooLarge *http.MaxBytesError
	var noRoom *buffer.NoRoomError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge), errors.As(err, &noRoom) && !noRoom.FitsLater:
		return nil, &BodyTooLargeError{Limit: f.options.MaxBodyBytes}
	case noRoom != nil:
		return nil, noRoom
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &BodyTooSlowError{Timeout: f.options.BodyTimeout}
	}
	return nil, &BodyReadError{Cause: err}
}

// withTarget sets the model or service that the request is for.
func withTarget(accepted request.Request, r *http.Request) (request.Request, error) {
	if accepted.Kind == request.Service {
		return withService(accepted, r)
	}
	parse := parseChat
	if accepted.Kind == request.Completion {
		parse = parseCompletion
	}
	body, err := parse(accepted.Body)
	if err != nil {
		return request.Request{}, err
	}
	accepted.Path = r.URL.Path
	accepted.Model = body.Model
	accepted.Stream = body.Stream
	accepted.MaxTokens = body.MaxTokens
	accepted.Prompt = body.Prompt
	accepted.PromptTokens = prefix.Tokens(body.Prompt)
	accepted.Blocks = prefix.Blocks(body.Prompt)
	return accepted, accepted.Allowance.PermitModel(body.Model)
}

func withService(accepted request.Request, r *http.Request) (request.Request, error) {
	accepted.Service = chi.URLParam(r, "Service")
	accepted.Path = "/" + chi.URLParam(r, "*")
	if r.URL.RawQuery != "" {
		accepted.Path += "?" + r.URL.RawQuery
	}
	return accepted, accepted.Allowance.PermitService(accepted.Service)
}

// withIdempotency sets whether the request is idempotent and its idempotency key.
func withIdempotency(accepted request.Request, customerPlan plan.Plan, header http.Header) (request.Request, error) {
	idempotent, err := isIdempotent(accepted, customerPlan, header.Get(headerIdempotent))
	if err != nil {
		return request.Request{}, err
	}
	accepted.Idempotent = idempotent
	values := header.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return accepted, nil
	}
	key := strings.Trim(values[0], `"`)
	if len(values) > 1 || key == "" || len(key) > maxKeyBytes {
		reason := "one key of 1 to " + strconv.Itoa(maxKeyBytes) + " bytes is expected"
		return request.Request{}, &FieldError{Field: headerIdempotencyKey, Reason: reason}
	}
	return accepted.WithKey(claim.NewKey(accepted.Customer, accepted.Target(), key)), nil
}

// isIdempotent reports whether a request may run more than once. The caller's header
// decides. Without that header, model calls and requests with an idempotent method or
// with one of the plan's idempotent paths may.
func isIdempotent(accepted request.Request, customerPlan plan.Plan, header string) (bool, error) {
	switch header {
	case "true":
		return true, nil
	case "false":
		return false, nil
	case "":
		return accepted.IsModelCall() || isIdempotentMethod(accepted.Method) || hasAnyPrefix(accepted.Path, customerPlan.IdempotentPaths), nil
	}
	return false, &FieldError{Field: headerIdempotent, Reason: "true or false is expected"}
}

// isIdempotentMethod implements RFC 9110, section 9.2.2.
func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func hasAnyPrefix(path string, prefixes []string) bool {
	for _, start := range prefixes {
		if strings.HasPrefix(path, start) {
			return true
		}
	}
	return false
}

// droppedHeaders are not forwarded: they are hop-by-hop or meant for this system.
var droppedHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Cookie", "Host", "Keep-Alive",
	"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "X-Request-Id", headerIdempotent,
}

func forwardedHeader(header http.Header) request.Header {
	forwarded := header.Clone()
	for _, listed := range header.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range droppedHeaders {
		forwarded.Del(name)
	}
	return request.Header(forwarded)
}
