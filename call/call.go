// Package call describes a caller's request to a runner and the runner's
// answer, without the names that the platform's protocol gives to their parts.
// It has no input or output.
package call

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Header holds header fields by canonical name, as net/http does.
type Header map[string][]string

// Part is a piece of a prompt that other requests may share.
type Part struct {
	// ID names the content of the piece.
	ID     string
	Tokens int
}

// Call is one request of a caller.
type Call struct {
	// ID names this attempt of the caller. It is passed on unchanged.
	ID   string
	Host string
	// Path is without the query.
	Path   string
	Target string
	Method string
	// Header holds the fields that are passed on.
	Header Header
	Body   []byte
	// Key is the caller's API key, or empty.
	Key string
	// Patience is how long the caller waits, or zero if it doesn't say.
	Patience time.Duration
	// PromptTokens and MaxTokens are zero for requests to plain services.
	PromptTokens int
	MaxTokens    int
	Prompt       []Part
	// LastEvent is the last event that the caller has of a stream that it
	// resumes, or zero.
	LastEvent int
}

// Tokens returns the number of tokens that the call counts for, or zero.
func (c Call) Tokens() int { return c.PromptTokens + c.MaxTokens }

// Fingerprint identifies the content of the call over repeated sendings by the
// same customer.
func (c Call) Fingerprint(customer string) uint64 {
	digest := xxhash.New()
	for _, part := range []string{customer, c.Method, c.Host, c.Target} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(c.Body)
	return digest.Sum64()
}

// Attempt is what the daemon adds to a call for one runner.
type Attempt struct {
	// Runner is the ID of the runner that is meant.
	Runner   string
	Customer string
	// Patience is how long the runner may work.
	Patience time.Duration
	// LastEvent is the last event that the caller has, or zero.
	LastEvent int
	// Continues is the stopped run that the attempt goes on with, or nil.
	Continues *StoppedRun
}

// StoppedRun is a run whose memory was kept when it was stopped.
type StoppedRun struct {
	// Source is the address of the runner that stopped the run.
	Source string
	// Handle names the memory at the source and at the runner to which it was
	// copied.
	Handle string
}

// AnswerHead is what a runner says about its answer.
type AnswerHead struct {
	// ID is the ID of the call that is answered, or empty.
	ID string
	// Signed is true when the runner says that the answer is its own.
	Signed bool
	// NotRun is true when the runner says that it did not run the call.
	NotRun bool
	// OtherRunner is true when another runner than the one that was meant has
	// the address.
	OtherRunner bool
}
