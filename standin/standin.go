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

// RespondTruncated announces a JSON answer, writes half of it and closes the
// connection. It does not return.
func RespondTruncated(w http.ResponseWriter, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		Abort()
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	Abort()
}

// Decode reads a JSON body into message. It answers 400 and returns false
// when the body is malformed.
func Decode(w http.ResponseWriter, r *http.Request, message any) bool {
	return decode(w, json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)), message)
}

// DecodeStrictly is Decode for control requests, whose bodies may not have
// unknown fields.
func DecodeStrictly(w http.ResponseWriter, r *http.Request, message any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	return decode(w, decoder, message)
}

func decode(w http.ResponseWriter, decoder *json.Decoder, message any) bool {
	if err := decoder.Decode(message); err != nil {
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
