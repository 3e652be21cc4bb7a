package front

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// FieldError says that a part of a request is wrong.
type FieldError struct {
	// Field is the path of the part, for example messages[2].role.
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// ContentError says that a message's content is neither a text nor parts.
type ContentError struct{}

// Error implements error.
func (e *ContentError) Error() string { return "a text or a list of parts is required" }

// BodyTooLargeError says that a request body is above the limit.
type BodyTooLargeError struct {
	// Limit is in bytes.
	Limit int
}

// Error implements error.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("the body is larger than %d bytes", e.Limit)
}

// HeaderTooLargeError says that a request's header is above the limit.
type HeaderTooLargeError struct {
	// Limit is in bytes.
	Limit int
}

// Error implements error.
func (e *HeaderTooLargeError) Error() string {
	return fmt.Sprintf("the header is larger than %d bytes", e.Limit)
}

// BodyReadError says that the caller's connection failed in the body.
type BodyReadError struct {
	Cause error
}

// Error implements error.
func (e *BodyReadError) Error() string { return fmt.Sprintf("the body could not be read: %v", e.Cause) }

// Unwrap returns the failure underneath.
func (e *BodyReadError) Unwrap() error { return e.Cause }

// NotReadyError says that the daemon has no configuration yet.
type NotReadyError struct{}

// Error implements error.
func (e *NotReadyError) Error() string { return "no configuration has been read yet" }

// BusyError says that the daemon has its most requests in flight.
type BusyError struct {
	// Limit is the most requests in flight.
	Limit int
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d requests are in flight, which is the most", e.Limit)
}

// newJSONError names the field of a JSON body that can't be read.
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

func indexed(list string, index int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, index, field)
}

// KeyMissingError says that a request has no bearer key.
type KeyMissingError struct{}

// Error implements error.
func (e *KeyMissingError) Error() string { return "the Authorization header has no bearer key" }

// RouteError says that no route has the path.
type RouteError struct{}

// Error implements error.
func (e *RouteError) Error() string { return "no such path" }

// MethodError says that the path does not take the method.
type MethodError struct{}

// Error implements error.
func (e *MethodError) Error() string { return "the path does not take this method" }

// CallerGoneError says that an answer could not be written to its caller.
type CallerGoneError struct {
	Cause error
}

// Error implements error.
func (e *CallerGoneError) Error() string { return fmt.Sprintf("the caller is gone: %v", e.Cause) }

// Unwrap returns the failure underneath.
func (e *CallerGoneError) Unwrap() error { return e.Cause }
