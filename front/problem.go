package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// The headers that every final answer carries.
const (
	HeaderOutcome   = "Cranberrywalk-Outcome"
	HeaderRequestID = "Cranberrywalk-Request-Id"
)

// Problem is the body of an answer that is not the backend server's. The
// lower-case names are those of application/problem+json.
type Problem struct {
	// Type names the kind of failure.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Field is the part of the request that is wrong.
	Field string `json:"Field,omitempty"`
	// List and Entry name the entry of the operators' lists that forbids
	// the request.
	List  string `json:"List,omitempty"`
	Entry string `json:"Entry,omitempty"`
	// Outcome is Answered, NotRun or Unknown.
	Outcome   string `json:"Outcome"`
	RequestID string `json:"RequestId"`
	// RetryAfter says when coming back helps; 0 when it does not.
	RetryAfter time.Duration `json:"-"`
}

// write sends the problem as the final answer. It is flushed: a request that
// was not run may be run under another claim as soon as its caller was told.
func (p Problem) write(w http.ResponseWriter) {
	// A struct of texts and numbers always encodes.
	body, _ := json.Marshal(p)
	header := w.Header()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Content-Type", "application/problem+json")
	header.Set(HeaderOutcome, p.Outcome)
	header.Set(HeaderRequestID, p.RequestID)
	if p.RetryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(p.RetryAfter))
	}
	w.WriteHeader(p.Status)
	// The connection is gone when one of these fails; nobody is left to tell.
	_, _ = w.Write(body)
	_ = http.NewResponseController(w).Flush()
}

// retryAfterSeconds rounds up to whole seconds, as the header wants.
func retryAfterSeconds(d time.Duration) string {
	seconds := int(math.Ceil(d.Seconds()))
	return strconv.Itoa(max(seconds, 1))
}
