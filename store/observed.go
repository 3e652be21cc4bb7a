package store

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/latest"
)

// CallResult says how a call ended.
type CallResult string

const (
	// Done means that the call succeeded.
	Done CallResult = "Done"
	// Unavailable means that there was no response, or that the store rejected
	// the call.
	Unavailable CallResult = "Unavailable"
	// Unreadable means that the response can't be decoded.
	Unreadable CallResult = "Unreadable"
	// Gap means that the store does not hold the requested records.
	Gap CallResult = "Gap"
	// Conflict means that the topic does not end at the expected offset.
	Conflict CallResult = "Conflict"
	// Failed is any other failure.
	Failed CallResult = "Failed"
)

// Call describes a finished call.
type Call struct {
	// Name is the name of the method.
	Name   string
	Topic  string
	Result CallResult
	// Duration includes the time that a read waited for records.
	Duration time.Duration
}

// ObservedStore forwards the calls to another store and reports each of them. It
// implements Store.
type ObservedStore struct {
	inner    Store
	clock    clock.Clock
	observer func(Call)
}

// NewObservedStore returns a store that calls observer after each call, in the
// goroutine of the caller.
func NewObservedStore(inner Store, clock clock.Clock, observer func(Call)) *ObservedStore {
	return &ObservedStore{inner: inner, clock: clock, observer: observer}
}

// Newest implements Store.
func (s *ObservedStore) Newest(ctx context.Context, topic string) (latest.Extract, error) {
	began := s.clock.Now()
	listing, err := s.inner.Newest(ctx, topic)
	s.report("Newest", topic, began, err)
	return listing, err
}

// ReadKeyed implements Store.
func (s *ObservedStore) ReadKeyed(ctx context.Context, topic string, from uint64, wait time.Duration) (latest.Extract, error) {
	began := s.clock.Now()
	extract, err := s.inner.ReadKeyed(ctx, topic, from, wait)
	s.report("ReadKeyed", topic, began, err)
	return extract, err
}

// Put implements Store.
func (s *ObservedStore) Put(ctx context.Context, topic string, records ...latest.Record) (uint64, error) {
	began := s.clock.Now()
	epoch, err := s.inner.Put(ctx, topic, records...)
	s.report("Put", topic, began, err)
	return epoch, err
}

// PutAt implements Store.
func (s *ObservedStore) PutAt(ctx context.Context, topic string, at uint64, record latest.Record) (uint64, error) {
	began := s.clock.Now()
	epoch, err := s.inner.PutAt(ctx, topic, at, record)
	s.report("PutAt", topic, began, err)
	return epoch, err
}

// Read implements Store.
func (s *ObservedStore) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Entries, error) {
	began := s.clock.Now()
	entries, err := s.inner.Read(ctx, topic, from, wait)
	s.report("Read", topic, began, err)
	return entries, err
}

// Append implements Store.
func (s *ObservedStore) Append(ctx context.Context, topic string, at uint64, record []byte) (uint64, error) {
	began := s.clock.Now()
	epoch, err := s.inner.Append(ctx, topic, at, record)
	s.report("Append", topic, began, err)
	return epoch, err
}

func (s *ObservedStore) report(name, topic string, began time.Time, err error) {
	s.observer(Call{Name: name, Topic: topic, Result: resultOf(err), Duration: s.clock.Since(began)})
}

func resultOf(err error) CallResult {
	var unavailable *UnavailableError
	var answer *ResponseError
	var gap *GapError
	var conflict *ConflictError
	switch {
	case err == nil:
		return Done
	case errors.As(err, &unavailable):
		return Unavailable
	case errors.As(err, &answer):
		return Unreadable
	case errors.As(err, &gap):
		return Gap
	case errors.As(err, &conflict):
		return Conflict
	}
	return Failed
}
