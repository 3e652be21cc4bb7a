// Package request describes a caller's request and holds the state machine that
// determines its outcome. It does no I/O.
package request

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/plan"
)

// Kind is the API of a backend server that a request uses.
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
// modified copies, and its maps and slices must not be modified.
type Request struct {
	// ID is unique across all daemons.
	ID string
	// Key is the idempotency key, which is the same when the caller sends the
	// request again. It is empty when the caller sent no Idempotency-Key.
	Key      claim.Key
	Customer string
	Plan     string
	Kind     Kind
	// Model is empty for services.
	Model string
	// Service is empty for model calls.
	Service string
	Method  string
	// Path is the path and query string that are sent to the backend server.
	Path   string
	Header Header
	Body   []byte
	// Idempotent means that the request may be run more than once.
	Idempotent bool
	// Stream means that the caller asked for a response of server-sent events.
	Stream bool
	// Priority orders requests; higher values are served first.
	Priority int
	Accepted time.Time
	Deadline time.Time
	// FirstToken and BetweenTokens are the plan's latency targets.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Prompt is the rendered prompt of a model call.
	Prompt       []byte
	PromptTokens int
	// Blocks are the chained hashes of the prompt's blocks, from prefix.Blocks.
	Blocks []uint64
	// MaxTokens limits the completion; zero leaves the limit to the engine.
	MaxTokens int
	// CostWeight and RecomputeWeight are the plan's weights in routing scores.
	CostWeight      float64
	RecomputeWeight float64
	Allowance       plan.Allowance
	// AvoidedZones are the availability zones that the next attempt should avoid.
	AvoidedZones []string
}

// IsModelCall reports whether the request goes to a model engine.
func (r Request) IsModelCall() bool { return r.Kind != Service }

// NeedsClaim reports whether a claim must be won before the first byte is
// written to a backend server.
func (r Request) NeedsClaim() bool { return r.Key != "" && !r.Idempotent }

// Target returns the name of the model or service that the request is for.
func (r Request) Target() string {
	if r.Kind == Service {
		return r.Service
	}
	return r.Model
}

// Fingerprint hashes the content of the request: two requests with the same
// target, method, path and body have the same fingerprint, regardless of the
// caller.
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

// WithIdempotent returns a copy with Idempotent set to the value.
func (r Request) WithIdempotent(idempotent bool) Request {
	r.Idempotent = idempotent
	return r
}

// WithAvoidedZones returns a copy whose next attempt should avoid the zones.
func (r Request) WithAvoidedZones(zones []string) Request {
	r.AvoidedZones = zones
	return r
}

// WithMaxTokens returns a copy with another limit on the completion.
func (r Request) WithMaxTokens(maxTokens int) Request {
	r.MaxTokens = maxTokens
	return r
}
