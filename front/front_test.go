package front_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/front"
	"github.com/cranberrywalk/cranberrywalk/limit"
	"github.com/cranberrywalk/cranberrywalk/plan"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// fixedConfiguration never changes.
type fixedConfiguration struct {
	state plan.State
	ready bool
}

func (f fixedConfiguration) State() (plan.State, bool) { return f.state, f.ready }

// fakeAdmitter refuses the plan named refused.
type fakeAdmitter struct{ refused string }

func (f fakeAdmitter) Admit(p plan.Plan, _ int, _ time.Time) error {
	if p.Name == f.refused {
		return &limit.ExceededError{Plan: p.Name, Limit: "RequestsPerSecond", RetryAfter: 1500 * time.Millisecond}
	}
	return nil
}

// fakeDispatcher records its requests and answers them with a script.
type fakeDispatcher struct {
	requests []request.Request
	script   func(w dispatch.Writer) dispatch.Result
}

func (f *fakeDispatcher) Do(_ context.Context, r request.Request, w dispatch.Writer) dispatch.Result {
	f.requests = append(f.requests, r)
	result := f.script(w)
	w.(dispatch.Finisher).Finish(result)
	return result
}

func answered(w dispatch.Writer) dispatch.Result {
	_ = w.Head(http.StatusOK, http.Header{"Content-Type": {"text/plain"}})
	_ = w.Chunk([]byte("done"))
	return dispatch.Result{Outcome: request.Answered, Status: http.StatusOK}
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func state() plan.State {
	school := plan.Customer{Name: "school", KeyHashes: []string{hashOf("good")}}
	full := plan.Customer{Name: "full", KeyHashes: []string{hashOf("limited")}}
	bare := plan.Customer{Name: "bare", KeyHashes: []string{hashOf("no-allowance")}}
	return plan.State{}.WithPlans(
		plan.Plan{Name: "Desk", Customers: []plan.Customer{school}, IdempotentPaths: []string{"/availability"}},
		plan.Plan{Name: "Limited", Customers: []plan.Customer{full}},
		plan.Plan{Name: "Bare", Customers: []plan.Customer{bare}},
	).WithAllowances(
		plan.Allowance{Plan: "Desk", Models: []string{"notes"}, Services: []string{"placements"}, Priority: 3},
		plan.Allowance{Plan: "Limited", Models: []string{"notes"}},
	)
}

type call struct {
	method, path, key, body string
	header                  http.Header
}

// reply is a complete answer, with its trailer.
type reply struct {
	status          int
	header, trailer http.Header
	body            []byte
}

func send(c *qt.C, f *fakeDispatcher, configuration fixedConfiguration, sent call) reply {
	common := telemetry.NewCommon()
	common.Clock = clock.NewFake(noon)
	options := front.Options{MaxBodyBytes: 1024, MaxHeaderBytes: 1024, MaxInFlight: 2, DefaultDeadline: time.Minute}
	handler := front.New(common, options, configuration, fakeAdmitter{refused: "Limited"}, f).Handler()
	r := httptest.NewRequest(sent.method, sent.path, strings.NewReader(sent.body))
	for name, values := range sent.header {
		r.Header[name] = values
	}
	if sent.key != "" {
		r.Header.Set("Authorization", "Bearer "+sent.key)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	response := recorder.Result()
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Header.Get(front.HeaderRequestID), qt.Not(qt.Equals), "")
	return reply{response.StatusCode, response.Header, response.Trailer, body}
}

const chat = `{"model": "notes", "messages": [{"role": "user", "content": "hello"}]}`

type badInput struct {
	name   string
	sent   call
	status int
	kind   string
	field  string
	entry  string
}

// outcome is NotRun only for requests without an idempotency key.
func (b badInput) outcome() string {
	if len(b.sent.header["Idempotency-Key"]) > 0 {
		return "Unknown"
	}
	return "NotRun"
}

func TestBadInputNamesTheField(t *testing.T) {
	const chatPath = "/v1/chat/completions"
	scenarios := []badInput{
		{"no key", call{"POST", chatPath, "", chat, nil}, 401, "UnknownCustomer", "Authorization", ""},
		{"unknown customer", call{"POST", chatPath, "bad", chat, nil}, 401, "UnknownCustomer", "Authorization", ""},
		{"malformed JSON", call{"POST", chatPath, "good", `{"model": `, nil}, 400, "InvalidField", "body", ""},
		{"two JSON values", call{"POST", chatPath, "good", chat + "{}", nil}, 400, "InvalidField", "body", ""},
		{"wrong type", call{"POST", chatPath, "good", `{"model": 3}`, nil}, 400, "InvalidField", "model", ""},
		{"no model", call{"POST", chatPath, "good", `{"messages": []}`, nil}, 400, "InvalidField", "model", ""},
		{"no messages", call{"POST", chatPath, "good", `{"model": "notes"}`, nil}, 400, "InvalidField", "messages", ""},
		{"no role", call{"POST", chatPath, "good", `{"model": "notes", "messages": [{"content": "x"}]}`, nil}, 400, "InvalidField", "messages[0].role", ""},
		{"content of a wrong type", call{"POST", chatPath, "good", `{"model": "notes", "messages": [{"role": "user", "content": 4}]}`, nil}, 400, "InvalidField", "messages[0].content", ""},
		{"no tokens", call{"POST", chatPath, "good", `{"model": "notes", "max_tokens": 0, "messages": [{"role": "user", "content": "x"}]}`, nil}, 400, "InvalidField", "max_tokens", ""},
		{"two answers", call{"POST", chatPath, "good", `{"model": "notes", "n": 2, "messages": [{"role": "user"}]}`, nil}, 400, "InvalidField", "n", ""},
		{"no prompt", call{"POST", "/v1/completions", "good", `{"model": "notes"}`, nil}, 400, "InvalidField", "prompt", ""},
		{"oversized body", call{"POST", chatPath, "good", strings.Repeat("x", 2000), nil}, 413, "BodyTooLarge", "body", ""},
		{"oversized header", call{"POST", chatPath, "good", chat, http.Header{"X-Note": {strings.Repeat("x", 1024)}}}, 431, "HeaderTooLarge", "header", ""},
		{"model outside the plan", call{"POST", "/v1/completions", "good", `{"model": "other", "prompt": "x"}`, nil}, 403, "Forbidden", "Models", "Desk"},
		{"service outside the plan", call{"POST", "/services/loans/x", "good", "", nil}, 403, "Forbidden", "Services", "Desk"},
		{"plan without allowance", call{"POST", chatPath, "no-allowance", chat, nil}, 403, "NoAllowance", "", "Bare"},
		{"limit reached", call{"POST", chatPath, "limited", chat, nil}, 429, "LimitExceeded", "RequestsPerSecond", "Limited"},
		{"empty key", call{"POST", "/services/placements/x", "good", "", http.Header{"Idempotency-Key": {""}}}, 400, "InvalidField", "Idempotency-Key", ""},
		{"two keys", call{"POST", "/services/placements/x", "good", "", http.Header{"Idempotency-Key": {"a", "b"}}}, 400, "InvalidField", "Idempotency-Key", ""},
		{"idempotent is no boolean", call{"POST", "/services/placements/x", "good", "", http.Header{"Cranberrywalk-Idempotent": {"maybe"}}}, 400, "InvalidField", "Cranberrywalk-Idempotent", ""},
		{"unknown path", call{"GET", "/v2/x", "good", "", nil}, 404, "UnknownPath", "", ""},
		{"wrong method", call{"GET", chatPath, "good", "", nil}, 405, "MethodNotAllowed", "", ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			f := &fakeDispatcher{script: answered}

			response := send(c, f, fixedConfiguration{state(), true}, s.sent)

			var problem front.Problem
			c.Assert(json.Unmarshal(response.body, &problem), qt.IsNil)
			c.Assert(response.status, qt.Equals, s.status)
			c.Assert(response.header.Get("Content-Type"), qt.Equals, "application/problem+json")
			c.Assert(response.header.Get(front.HeaderOutcome), qt.Equals, s.outcome())
			c.Assert([]string{problem.Type, problem.Field, problem.Entry}, qt.DeepEquals, []string{s.kind, s.field, s.entry})
			c.Assert(response.header.Get("Retry-After") != "", qt.Equals, s.status == 429)
			c.Assert(f.requests, qt.HasLen, 0)
		})
	}
}

// Another daemon may have run the request when it was sent earlier with the same key.
func TestRefusalOfKeyedRequestIsUnknown(t *testing.T) {
	scenarios := []struct {
		name   string
		bearer string
		path   string
		ready  bool
		status int
	}{
		{"limit reached", "limited", "/services/placements/x", true, 403},
		{"not ready", "good", "/services/placements/x", false, 503},
		{"service outside the plan", "good", "/services/loans/x", true, 403},
		{"unknown customer", "bad", "/services/placements/x", true, 401},
		{"unknown path", "good", "/v2/x", true, 404},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			header := http.Header{"Idempotency-Key": {`"k-1"`}}
			response := send(c, &fakeDispatcher{script: answered}, fixedConfiguration{state(), s.ready}, call{"POST", s.path, s.bearer, "", header})
			c.Assert(response.status, qt.Equals, s.status)
			c.Assert(response.header.Get(front.HeaderOutcome), qt.Equals, "Unknown")
		})
	}
}

func TestDaemonWithoutConfigurationRefuses(t *testing.T) {
	c := qt.New(t)
	response := send(c, &fakeDispatcher{script: answered}, fixedConfiguration{}, call{"POST", "/v1/chat/completions", "good", chat, nil})
	c.Assert(response.status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.header.Get("Retry-After"), qt.Equals, "1")
}

func TestIdempotencyOfRequests(t *testing.T) {
	scenarios := []struct {
		name       string
		sent       call
		idempotent bool
	}{
		{"model call", call{"POST", "/v1/chat/completions", "good", chat, nil}, true},
		{"post to a service", call{"POST", "/services/placements/x", "good", "", nil}, false},
		{"patch of a service", call{"PATCH", "/services/placements/x", "good", "", nil}, false},
		{"get of a service", call{"GET", "/services/placements/x?a=1", "good", "", nil}, true},
		{"path that the plan names", call{"POST", "/services/placements/availability/7", "good", "", nil}, true},
		{"header is false", call{"GET", "/services/placements/x", "good", "", http.Header{"Cranberrywalk-Idempotent": {"false"}}}, false},
		{"header is true", call{"POST", "/services/placements/x", "good", "", http.Header{"Cranberrywalk-Idempotent": {"true"}}}, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			f := &fakeDispatcher{script: answered}
			response := send(c, f, fixedConfiguration{state(), true}, s.sent)
			c.Assert(response.header.Get(front.HeaderOutcome), qt.Equals, "Answered")
			c.Assert(f.requests, qt.HasLen, 1)
			c.Assert(f.requests[0].Idempotent, qt.Equals, s.idempotent)
			c.Assert(f.requests[0].Priority, qt.Equals, 3)
			c.Assert(f.requests[0].Header["Authorization"], qt.HasLen, 0)
		})
	}
}

func TestKeyIsScopedToCustomerAndTarget(t *testing.T) {
	c := qt.New(t)
	f := &fakeDispatcher{script: answered}
	header := http.Header{"Idempotency-Key": {`"k-1"`}}
	send(c, f, fixedConfiguration{state(), true}, call{"POST", "/services/placements/x", "good", "", header})
	send(c, f, fixedConfiguration{state(), true}, call{"POST", "/v1/completions", "good", `{"model": "notes", "prompt": "x"}`, header})
	c.Assert(f.requests[0].Key, qt.Not(qt.Equals), f.requests[1].Key)
	c.Assert(f.requests[0].Path, qt.Equals, "/x")
}

func TestBrokenStreamEndsWithErrorEventAndOutcomeTrailer(t *testing.T) {
	c := qt.New(t)
	f := &fakeDispatcher{script: func(w dispatch.Writer) dispatch.Result {
		_ = w.Head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
		_ = w.Chunk([]byte("data: {}\n\n"))
		broken := &dispatch.BrokenStreamError{Backend: "runner-a-1"}
		return dispatch.Result{Outcome: request.Unknown, Status: http.StatusBadGateway, Problem: broken, HeadWritten: true}
	}}
	body := `{"model": "notes", "stream": true, "prompt": "x"}`

	response := send(c, f, fixedConfiguration{state(), true}, call{"POST", "/v1/completions", "good", body, nil})

	c.Assert(string(response.body), qt.Contains, `"type":"StreamBroken"`)
	c.Assert(string(response.body), qt.Not(qt.Contains), "[DONE]")
	c.Assert(response.trailer.Get(front.HeaderOutcome), qt.Equals, "Unknown")
}
