// Package standin holds what the stand-ins of external systems share: JSON over
// HTTP, durations as text and fault injection.
//
// The stand-ins simulate the hosting platform and backend servers in tests and
// in the demo. They are not meant for production.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxBodyBytes limits the size of request bodies.
const maxBodyBytes = 64 << 20

// Respond writes a JSON response.
func Respond(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has disconnected needs no response.
	_ = json.NewEncoder(w).Encode(message)
}

// RespondTruncated sends the Content-Length of a whole JSON response, writes
// half of the body and closes the connection. It does not return.
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

// Decode decodes a JSON body into message. It responds with 400 and returns false
// when the body is malformed.
func Decode(w http.ResponseWriter, r *http.Request, message any) bool {
	return decode(w, json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)), message)
}

// DecodeStrictly is Decode for control requests. It rejects unknown fields.
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

// Abort closes the caller's connection without completing the response. It does
// not return.
func Abort() {
	panic(http.ErrAbortHandler)
}

// Hang keeps the request open without a response until the caller disconnects. It
// does not return.
func Hang(r *http.Request) {
	// net/http detects a closed connection only after the body has been read.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes))
	<-r.Context().Done()
	Abort()
}

// QueryUint returns a number from the query, or 0 when it is missing or invalid.
func QueryUint(r *http.Request, name string) uint64 {
	number, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return number
}

// QueryDuration returns a duration from the query, or 0 when it is missing or
// invalid.
func QueryDuration(r *http.Request, name string) time.Duration {
	duration, err := time.ParseDuration(r.URL.Query().Get(name))
	if err != nil {
		return 0
	}
	return duration
}
