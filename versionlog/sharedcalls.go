package versionlog

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
)

// sharedCalls makes calls whose results several callers share. A caller gets the result of a call
// that begins after it has asked. Within failureHold after a failed call it gets that failure
// instead, so that callers do not wait for a store or a daemon that does not answer.
type sharedCalls struct {
	clock clock.Clock
	// wake receives a value when a call is asked for.
	wake chan struct{}

	mutex sync.Mutex
	// next is the call that has not begun, or nil; guarded by mutex.
	next *sharedCall
	// failure is that of the last call, or nil, and failedAt when it ended. Both are guarded by
	// mutex.
	failure  error
	failedAt time.Time
}

// failureHold is how long after a failed call others fail without another one.
const failureHold = 250 * time.Millisecond

// sharedCall is one call.
type sharedCall struct {
	// done is closed when the call has ended, and err is then its failure, or nil.
	done chan struct{}
	err  error
}

func newSharedCalls(clock clock.Clock) *sharedCalls {
	return &sharedCalls{clock: clock, wake: make(chan struct{}, 1)}
}

// await waits for the end of a call that begins from now on, and returns its failure.
func (s *sharedCalls) await(ctx context.Context) error {
	next, failure := s.join()
	if failure != nil {
		return failure
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case <-next.done:
		return next.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns the call that begins next, or the failure of the last one.
func (s *sharedCalls) join() (next *sharedCall, failure error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failure != nil && s.clock.Since(s.failedAt) < failureHold {
		return nil, s.failure
	}
	if s.next == nil {
		s.next = &sharedCall{done: make(chan struct{})}
	}
	return s.next, nil
}

// run makes the calls, one at a time with a pause after each, until ctx ends.
func (s *sharedCalls) run(ctx context.Context, pause time.Duration, call func(ctx context.Context) error) {
	for clock.Sleep(ctx, s.clock, pause) == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.mutex.Lock()
		current := s.next
		s.next = nil
		s.mutex.Unlock()
		if current == nil {
			continue
		}
		current.err = call(ctx)
		s.recordFailure(current.err)
		close(current.done)
	}
}

func (s *sharedCalls) recordFailure(failure error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failure, s.failedAt = failure, s.clock.Now()
}
