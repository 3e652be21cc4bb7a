package front

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// FieldError means that a part of a request is invalid.
type FieldError struct {
	// Field is the path of the part, for example messages[2].role.
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// ContentError means that a message's content is neither a string nor a list of
// parts.
type ContentError struct{}

// Error implements error.
func (e *ContentError) Error() string { return "a text or a list of parts is required" }

// BodyTooLargeError means that a request body exceeds the limit.
type BodyTooLargeError struct {
	// Limit is in bytes.
	Limit int
}

// Error implements error.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("the body is larger than %d bytes", e.Limit)
}

// HeaderTooLargeError means that a request header exceeds the limit.
type HeaderTooLargeError struct {
	// Limit is in bytes.
	Limit int
}

// Error implements error.
func (e *HeaderTooLargeError) Error() string {
	return fmt.Sprintf("the header is larger than %d bytes", e.Limit)
}

// BodyTooSlowError means that a request body has not arrived in time.
type BodyTooSlowError struct {
	// Timeout is the time that was allowed.
	Timeout time.Duration
}

// Error implements error.
func (e *BodyTooSlowError) Error() string {
	return fmt.Sprintf("the body has not arrived within %v", e.Timeout)
}

// BodyReadError means that reading a request body failed.
type BodyReadError struct {
	Cause error
}

// Error implements error.
func (e *BodyReadError) Error() string { return fmt.Sprintf("the body could not be read: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BodyReadError) Unwrap() error { return e.Cause }

// NotReadyError means that the daemon has no configuration yet.
type NotReadyError struct{}

// Error implements error.
func (e *NotReadyError) Error() string { return "no configuration has been read yet" }

// BusyError means that the daemon has the maximum number of requests in flight.
type BusyError struct {
	// Limit is the maximum number of requests in flight.
	Limit int
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d requests are in flight, which is the most", e.Limit)
}

// newJSONError converts a decoding error into one that names the invalid field.
func newJSONError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		field := mismatch.Field
		if field == "" {
			field = "body"
		}
		return &FieldError{Field: field, Reason: fmt.Sprintf("%s is not expected here", mismatch.Value)}
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return &FieldError{Field: "body", Reason: fmt.Sprintf("malformed JSON at byte %d: %v", syntax.Offset, err)}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return &FieldError{Field: "body", Reason: "the JSON ends too early"}
	}
	return &FieldError{Field: "body", Reason: strings.TrimPrefix(err.Error(), "json: ")}
}

func indexedField(list string, index int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, index, field)
}

// MissingKeyError means that a request has no bearer key.
type MissingKeyError struct{}

// Error implements error.
func (e *MissingKeyError) Error() string { return "the Authorization header has no bearer key" }

// UnknownPathError means that no route matches the path.
type UnknownPathError struct{}

// Error implements error.
func (e *UnknownPathError) Error() string { return "no such path" }

// MethodNotAllowedError means that the path does not support the method.
type MethodNotAllowedError struct{}

// Error implements error.
func (e *MethodNotAllowedError) Error() string { return "the path does not take this method" }

// CallerGoneError means that an answer could not be written to the caller.
type CallerGoneError struct {
	Cause error
}

// Error implements error.
func (e *CallerGoneError) Error() string { return fmt.Sprintf("the caller is gone: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }
