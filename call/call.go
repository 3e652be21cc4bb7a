// Package call describes a caller's request to a runner and the runner's answer,
// independently of the platform's wire protocol. It does no I/O.
package call

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Header holds header values by canonical name, like http.Header.
type Header map[string][]string

// PromptSegment is a segment of a prompt that other prompts may share.
type PromptSegment struct {
	// ID identifies the content of the segment.
	ID     string
	Tokens int
}

// Call is one request of a caller.
type Call struct {
	// ID identifies this attempt by the caller. It is passed on unchanged.
	ID   string
	Host string
	// Path is the path without the query.
	Path string
	// Target is the path with the query, as received.
	Target string
	Method string
	// Header holds the header fields that are passed on.
	Header Header
	Body   []byte
	// Key is the caller's API key, or empty.
	Key string
	// Timeout is the caller's timeout, or zero if it gives none.
	Timeout time.Duration
	// PromptTokens and MaxTokens are zero for requests to plain services.
	PromptTokens int
	MaxTokens    int
	Prompt       []PromptSegment
	// LastEvent is the ID of the last event that the caller received, if the call
	// resumes a stream, or zero.
	LastEvent int
	// Resumes is the ID of the attempt by the caller that brought the first event of the stream
	// that the call resumes, or empty if it names none.
	Resumes string
}

// SharedSegments returns the segments of a prompt that other prompts may share, which are all
// but the last.
func SharedSegments(prompt []PromptSegment) []PromptSegment { return prompt[:max(len(prompt)-1, 0)] }

// maxSegmentIDBytes is the length up to which the ID of a segment stands for itself.
const maxSegmentIDBytes = 32

// SharedSegmentIDs returns the IDs of the shared segments of the prompt. A long one is replaced by
// its hash.
func (c Call) SharedSegmentIDs() []string {
	var ids []string
	for _, segment := range SharedSegments(c.Prompt) {
		id := segment.ID
		if len(id) > maxSegmentIDBytes {
			id = strconv.FormatUint(xxhash.Sum64String(id), 16)
		}
		ids = append(ids, id)
	}
	return ids
}

// Tokens returns the sum of PromptTokens and MaxTokens.
func (c Call) Tokens() int { return c.PromptTokens + c.MaxTokens }

// Fingerprint returns a hash of the customer and the content of the call. It is the
// same when the customer sends the call again.
func (c Call) Fingerprint(customer string) uint64 {
	digest := xxhash.New()
	for _, part := range []string{customer, c.Method, c.Host, c.Target} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(c.Body)
	return digest.Sum64()
}

// Attempt holds what the daemon adds to a call that it sends to a runner.
type Attempt struct {
	// Runner is the ID of the intended runner.
	Runner   string
	Customer string
	// Timeout is the time that is left for the runner to answer.
	Timeout time.Duration
	// LastEvent is the ID of the last event that the caller received, or zero.
	LastEvent int
	// ResumedRun is the stopped run that the attempt resumes, or nil.
	ResumedRun *StoppedRun
	// Urgency is 0 for the calls that the runner admits first. The runner is told if HasUrgency is true.
	Urgency    int
	HasUrgency bool
}

// StoppedRun is a run that was stopped and whose KV cache was kept.
type StoppedRun struct {
	// Source is the address of the runner that stopped the run.
	Source string
	// Handle identifies the KV cache at the source and at the runner to which it
	// was copied.
	Handle string
}

// AnswerMetadata is the metadata in the header of an answer.
type AnswerMetadata struct {
	// ID is the ID of the answered call, or empty.
	ID string
	// Signed is true if the answer carries a signature.
	Signed bool
	// NotRun is true if the runner reports that it did not run the call.
	NotRun bool
	// Misdirected is true if the address now belongs to another runner than the
	// intended one.
	Misdirected bool
	// Leaving is true if the runner says that it is leaving.
	Leaving bool
	// RetryAfter is how long a runner that turned the call away wants no other call,
	// or zero.
	RetryAfter time.Duration
	// Limit is what the answer says of how many calls its runner takes.
	Limit LimitNotice
	// Load is what the answer says of the load of its runner.
	Load Load
}

// LimitNotice is the part of an answer in which a runner may name a limit.
type LimitNotice struct {
	// PerSecond is the number of calls a second that the runner takes from all daemons
	// together, or zero if it names no limit.
	PerSecond float64
	// IsInvalid is true if the runner names something that is no limit, which is Text. The
	// notice then says nothing.
	IsInvalid bool
	Text      string
}
