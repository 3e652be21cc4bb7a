package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers of every final answer.
const (
	HeaderOutcome   = "Cranberrywalk-Outcome"
	HeaderRequestID = "Cranberrywalk-Request-Id"
)

// Problem is the body of an answer that does not come from a backend server. The
// lower-case names are those of application/problem+json.
type Problem struct {
	// Type names the kind of failure.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Field is the part of the request that is invalid.
	Field string `json:"Field,omitempty"`
	// List and Entry name the entry of the operators' lists (plans and allowances)
	// that forbids the request.
	List  string `json:"List,omitempty"`
	Entry string `json:"Entry,omitempty"`
	// Outcome is Answered, NotRun or Unknown.
	Outcome   string `json:"Outcome"`
	RequestID string `json:"RequestId"`
	// RetryAfter is when a retry may succeed; 0 if a retry does not help.
	RetryAfter time.Duration `json:"-"`
	// ClosesConnection is true if the rest of the request is not read.
	ClosesConnection bool `json:"-"`
}

// write sends the problem as the final answer and flushes it, so that the caller
// receives the outcome NotRun before the claim is released and another daemon can run
// the request.
func (p Problem) write(w http.ResponseWriter) {
	// A struct of strings and numbers always encodes.
	body, _ := json.Marshal(p)
	header := w.Header()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Content-Type", "application/problem+json")
	header.Set(HeaderOutcome, p.Outcome)
	header.Set(HeaderRequestID, p.RequestID)
	if p.RetryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(p.RetryAfter))
	}
	if p.ClosesConnection {
		header.Set("Connection", "close")
	}
	w.WriteHeader(p.Status)
	// Both calls fail only if the connection is lost. The error is ignored, since the
	// caller can no longer be reached.
	_, _ = w.Write(body)
	_ = http.NewResponseController(w).Flush()
}

// retryAfterSeconds rounds up to whole seconds, the unit of Retry-After.
func retryAfterSeconds(d time.Duration) string {
	seconds := int(math.Ceil(d.Seconds()))
	return strconv.Itoa(max(seconds, 1))
}
