package front

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/plan"
	"github.com/cranberrywalk/cranberrywalk/prefix"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// The request headers that the front reads itself.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerIdempotent     = "Cranberrywalk-Idempotent"
	bearerPrefix         = "Bearer "
)

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 255

// accept checks a request against the plans in force. Every failure happens
// before anything was sent to a backend server.
func (f *Front) accept(id string, kind request.Kind, r *http.Request) (request.Request, error) {
	state, ready := f.configuration.State()
	if !ready {
		return request.Request{}, &NotReadyError{}
	}
	customer, bought, allowance, err := authenticate(state, r)
	if err != nil {
		return request.Request{}, err
	}
	body, err := f.readBody(r)
	if err != nil {
		return request.Request{}, err
	}
	now := f.Clock.Now()
	accepted := request.Request{
		ID: id, Customer: customer.Name, Plan: bought.Name, Kind: kind,
		Method: r.Method, Header: forwardedHeader(r.Header), Body: body,
		Priority: allowance.Priority, Accepted: now, Deadline: now.Add(f.deadline(bought)),
		FirstToken: bought.FirstToken.Std(), BetweenTokens: bought.BetweenTokens.Std(),
		CostWeight: bought.CostWeight, RecomputeWeight: bought.RecomputeWeight, Allowance: allowance,
	}
	if accepted, err = withTarget(accepted, r); err != nil {
		return request.Request{}, err
	}
	if accepted, err = withIdentity(accepted, bought, r.Header); err != nil {
		return request.Request{}, err
	}
	return accepted, f.admitter.Admit(bought, accepted.PromptTokens+accepted.MaxTokens, now)
}

func (f *Front) deadline(bought plan.Plan) time.Duration {
	if bought.Deadline > 0 {
		return bought.Deadline.Std()
	}
	return f.options.DefaultDeadline
}

func authenticate(state plan.State, r *http.Request) (plan.Customer, plan.Plan, plan.Allowance, error) {
	authorization := r.Header.Get("Authorization")
	if !strings.HasPrefix(authorization, bearerPrefix) {
		return plan.Customer{}, plan.Plan{}, plan.Allowance{}, &KeyMissingError{}
	}
	return state.Authenticate(strings.TrimPrefix(authorization, bearerPrefix))
}

func (f *Front) readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, int64(f.options.MaxBodyBytes)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &BodyTooLargeError{Limit: f.options.MaxBodyBytes}
	}
	if err != nil {
		return nil, &BodyReadError{Cause: err}
	}
	return body, nil
}

// withTarget reads which model or service the request is for.
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

// withIdentity reads whether the request may be repeated, and under which key
// the caller repeats it.
func withIdentity(accepted request.Request, bought plan.Plan, header http.Header) (request.Request, error) {
	idempotent, err := isIdempotent(accepted, bought, header.Get(headerIdempotent))
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

// isIdempotent lets the caller's header go before the plan, and the plan
// before the method.
func isIdempotent(accepted request.Request, bought plan.Plan, header string) (bool, error) {
	switch header {
	case "true":
		return true, nil
	case "false":
		return false, nil
	case "":
		return accepted.IsModelCall() || isIdempotentMethod(accepted.Method) || hasPrefix(accepted.Path, bought.IdempotentPaths), nil
	}
	return false, &FieldError{Field: headerIdempotent, Reason: "true or false is expected"}
}

// isIdempotentMethod follows RFC 9110, section 9.2.2.
func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func hasPrefix(path string, prefixes []string) bool {
	for _, start := range prefixes {
		if strings.HasPrefix(path, start) {
			return true
		}
	}
	return false
}

// droppedHeaders are for the connection or for the system itself.
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
