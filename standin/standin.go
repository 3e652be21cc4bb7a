// Package standin holds what the stand-ins of the outside systems share: JSON
// over HTTP, durations as text and a switchable set of faults.
//
// The stand-ins take the place of the hosting platform and of backend servers
// in tests and in the demo. They are not fit for production.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxBodyBytes bounds the bodies that a stand-in reads into memory.
const maxBodyBytes = 64 << 20

// Respond writes a JSON answer.
func Respond(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(message)
}

// Decode reads a JSON body into message. It answers 400 and returns false
// when the body is malformed.
func Decode(w http.ResponseWriter, r *http.Request, message any) bool {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(message); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Abort closes the caller's connection without completing the answer. It does
// not return.
func Abort() {
	panic(http.ErrAbortHandler)
}

// Hang keeps the request open without an answer until the caller gives up.
func Hang(r *http.Request) {
	// The server notices a lost connection only after the body is read.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes))
	<-r.Context().Done()
	Abort()
}

// Uint returns a number of the query, or 0 when it is missing.
func Uint(r *http.Request, name string) uint64 {
	number, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return number
}

// QueryDuration returns a duration of the query, or 0 when it is missing.
func QueryDuration(r *http.Request, name string) time.Duration {
	duration, err := time.ParseDuration(r.URL.Query().Get(name))
	if err != nil {
		return 0
	}
	return duration
}
