// Package request describes a caller's request and holds the state machine
// that decides its outcome. It has no input or output.
package request

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/plan"
)

// Kind says which interface of a backend server a request uses.
type Kind int

const (
	// Chat is a call of /v1/chat/completions.
	Chat Kind = iota
	// Completion is a call of /v1/completions.
	Completion
	// Service is a call of a plain service.
	Service
)

// Header holds header fields by canonical name, as net/http does.
type Header map[string][]string

// Request is a caller's request. It is immutable: the With methods return
// changed copies, and nobody writes to its maps and slices.
type Request struct {
	// ID is unique over all daemons.
	ID string
	// Key identifies the request over repeated sendings. It is empty when
	// the caller sent no Idempotency-Key.
	Key      claim.Key
	Customer string
	Plan     string
	Kind     Kind
	// Model is empty for services.
	Model string
	// Service is empty for model calls.
	Service string
	Method  string
	// Path is the path and query that the backend server gets.
	Path   string
	Header Header
	Body   []byte
	// Idempotent allows the request to be run more than once.
	Idempotent bool
	// Stream asks for the answer as server-sent events.
	Stream bool
	// Priority is higher for requests that are served first.
	Priority int
	Accepted time.Time
	Deadline time.Time
	// FirstToken and BetweenTokens are the plan's latency targets.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Prompt is the rendered prompt of a model call.
	Prompt       []byte
	PromptTokens int
	// Blocks are the chained hashes of the prompt.
	Blocks []uint64
	// MaxTokens bounds the answer; zero leaves it to the engine.
	MaxTokens       int
	CostWeight      float64
	RecomputeWeight float64
	Allowance       plan.Allowance
	// AvoidedZones are the availability zones that the next attempt should
	// not go to.
	AvoidedZones []string
}

// IsModelCall reports whether the request goes to a model engine.
func (r Request) IsModelCall() bool { return r.Kind != Service }

// NeedsClaim reports whether a claim must be won before the first byte is
// written to a backend server.
func (r Request) NeedsClaim() bool { return r.Key != "" && !r.Idempotent }

// Target names the model or the service that the request is for.
func (r Request) Target() string {
	if r.Kind == Service {
		return r.Service
	}
	return r.Model
}

// Fingerprint identifies the content of the request: two requests with the
// same target and body have the same fingerprint, whoever sent them.
func (r Request) Fingerprint() uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.Target(), r.Method, r.Path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(r.Body)
	return digest.Sum64()
}

// WithBody returns a copy with another body.
func (r Request) WithBody(body []byte) Request {
	r.Body = body
	return r
}

// WithDeadline returns a copy with another deadline.
func (r Request) WithDeadline(deadline time.Time) Request {
	r.Deadline = deadline
	return r
}

// WithKey returns a copy with another key.
func (r Request) WithKey(key claim.Key) Request {
	r.Key = key
	return r
}

// WithIdempotent returns a copy that may, or may not, be run more than once.
func (r Request) WithIdempotent(idempotent bool) Request {
	r.Idempotent = idempotent
	return r
}

// WithAvoidedZones returns a copy whose next attempt should not go to the zones.
func (r Request) WithAvoidedZones(zones []string) Request {
	r.AvoidedZones = zones
	return r
}

// WithMaxTokens returns a copy with another bound on the answer.
func (r Request) WithMaxTokens(most int) Request {
	r.MaxTokens = most
	return r
}
