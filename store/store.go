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
	// Newest returns the newest record of every key of a topic, as an extract that
	// covers all keys.
	Newest(ctx context.Context, topic string) (latest.Extract, error)
	// ReadKeyed returns the records of a keyed topic from an offset on. It waits up
	// to wait for the first one. The offset is taken as one of the store's present
	// epoch, which is that of the extract's end. It fails with a *GapError when the
	// store does not hold the offset: the record is no longer retained, or the
	// store was restored and ends before it.
	ReadKeyed(ctx context.Context, topic string, from uint64, wait time.Duration) (latest.Extract, error)
	// Put writes the records of keys, all or none, and returns the epoch in which it did. A
	// tombstone drops its key. The offsets of the records are ignored.
	Put(ctx context.Context, topic string, records ...latest.Record) (epoch uint64, err error)
	// PutAt writes the record of a key if the topic ends at the given offset. It fails with a
	// *ConflictError when the topic ends elsewhere.
	PutAt(ctx context.Context, topic string, at uint64, record latest.Record) (epoch uint64, err error)
	// Read returns the records of a topic from an offset on, like ReadKeyed.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Entries, error)
	// Append adds a record if the topic ends at the given offset, and returns the
	// epoch in which it did. It fails with a *ConflictError when the topic ends
	// elsewhere.
	Append(ctx context.Context, topic string, at uint64, record []byte) (epoch uint64, err error)
}

// Entries are the records of one read.
type Entries struct {
	// Epoch is the epoch of the store that was read.
	Epoch   uint64
	Records [][]byte
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
	if e.Cause == nil {
		return "response to store call " + e.Call + " has an invalid record"
	}
	return fmt.Sprintf("decode response to store call %s: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error { return e.Cause }

// GapError says that the store does not hold the requested records.
type GapError struct {
	// First is the position of the first record that is retained.
	First latest.Position
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("the store does not hold the requested records: the first retained offset of epoch %d is %d",
		e.First.Epoch, e.First.Offset)
}

// ConflictError says that a topic does not end at the offset that an append
// expected.
type ConflictError struct {
	// End is the position at which the topic ends.
	End latest.Position
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("append conflict: the topic ends at offset %d of epoch %d", e.End.Offset, e.End.Epoch)
}

// StaleEpochError says that a response is from an epoch before one that was already
// seen, so that it may lack what the store holds now.
type StaleEpochError struct {
	// Epoch is the epoch of the response, and Known the latest one seen.
	Epoch, Known uint64
}

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("response is of epoch %d of the store, before the known epoch %d", e.Epoch, e.Known)
}
