// Package store declares the interface of the platform's metadata store, which
// keeps topics of records outside the VMs, and its errors.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/latest"
)

// Store is the platform's metadata store. Its calls fail with an
// *UnavailableError or a *ResponseError, besides the errors named at each.
type Store interface {
	// Newest returns the newest record of every key of a topic. The listing
	// covers all records before the returned offset.
	Newest(ctx context.Context, topic string) ([]latest.Record, uint64, error)
	// ReadKeyed returns the records of a keyed topic from an offset on, and the
	// offset after them. It waits up to wait for the first one. It fails with a
	// *GapError when the record at the offset is no longer retained.
	ReadKeyed(ctx context.Context, topic string, from uint64, wait time.Duration) ([]latest.Record, uint64, error)
	// Put writes the record of a key.
	Put(ctx context.Context, topic, key string, value []byte) error
	// Read returns the records of a topic from an offset on, like ReadKeyed.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) ([][]byte, error)
	// Append adds a record if the topic ends at the given offset. It fails with
	// a *ConflictError when the topic ends elsewhere.
	Append(ctx context.Context, topic string, at uint64, record []byte) error
}

// UnavailableError says that a call got no usable response. Unless Status is
// set, a write may have taken effect or may still do so.
type UnavailableError struct {
	Call string
	// Status is the status of a rejection, or zero when there was no response.
	Status int
	Cause  error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Cause != nil {
		return "store call " + e.Call + ": " + e.Cause.Error()
	}
	return fmt.Sprintf("store call %s was rejected with status %d", e.Call, e.Status)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// ResponseError says that the response to a call can't be decoded.
type ResponseError struct {
	Call  string
	Cause error
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("decode response to store call %s: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error { return e.Cause }

// GapError says that the requested records are no longer retained.
type GapError struct {
	// First is the offset of the first record that is retained.
	First uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("requested records are no longer retained: the first retained offset is %d", e.First)
}

// ConflictError says that a topic does not end at the offset that an append
// expected.
type ConflictError struct {
	// End is the offset at which the topic ends.
	End uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("append conflict: the topic ends at offset %d", e.End)
}
