// Package store describes the platform's metadata store: topics of records
// that are kept outside the VMs. It holds the interface and its errors.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/latest"
)

// Store is the platform's metadata store. Its calls fail with an
// *UnavailableError or an *AnswerError, besides the errors named at each.
type Store interface {
	// Newest returns the newest record of every key of a topic. The listing
	// holds everything before the returned offset.
	Newest(ctx context.Context, topic string) ([]latest.Record, uint64, error)
	// ReadKeyed returns the records of a topic of keys from an offset on, and
	// the offset after them. It waits up to wait for a first one. It fails
	// with a *GapError when the record at the offset is gone.
	ReadKeyed(ctx context.Context, topic string, from uint64, wait time.Duration) ([]latest.Record, uint64, error)
	// Put writes the record of a key.
	Put(ctx context.Context, topic, key string, value []byte) error
	// Read returns the records of a topic from an offset on, like ReadKeyed.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) ([][]byte, error)
	// Append adds a record if the topic ends at an offset. It fails with a
	// *ConflictError when it ends elsewhere.
	Append(ctx context.Context, topic string, at uint64, record []byte) error
}

// UnavailableError says that a call got no answer of use. A call that writes
// may have been carried out, or may still be, unless Status is set.
type UnavailableError struct {
	Call string
	// Status is the status of a refusal, or zero when there was no answer.
	Status int
	Cause  error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Cause != nil {
		return "store call " + e.Call + ": " + e.Cause.Error()
	}
	return fmt.Sprintf("store call %s was refused with status %d", e.Call, e.Status)
}

// Unwrap returns the failure underneath.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// AnswerError says that the answer to a call can't be read.
type AnswerError struct {
	Call  string
	Cause error
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("answer to the store call %s can't be read: %v", e.Call, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *AnswerError) Unwrap() error { return e.Cause }

// GapError says that the records to be read are gone.
type GapError struct {
	// First is the offset of the first record that is left.
	First uint64
}

// Error implements error.
func (e *GapError) Error() string { return "the records to be read are gone" }

// ConflictError says that a topic does not end where an append expected.
type ConflictError struct {
	// End is the offset at which the topic ends.
	End uint64
}

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("the topic ends at offset %d", e.End) }
