package callerserver

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/socket"
)

// stage is the stage of a planned stop.
type stage int

const (
	// running means that no stop has begun.
	running stage = iota
	// announcing means that answers tell callers to use other connections.
	announcing
	// draining means that idle connections are closed and the listeners too.
	draining
	// closed means that all connections are closed at once.
	closed
)

// CutError reports that connections were open at the end of the time for a stop.
type CutError struct {
	// Open is the number of these connections.
	Open  int
	Cause error
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("%d connections were open: %v", e.Open, e.Cause)
}

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Cause }

// BeginStop starts a planned stop: from now on, each answer tells its caller that the
// connection closes after it. Idle connections stay open, since a request may be on its
// way on each of them.
func (s *Server) BeginStop() { s.setStage(announcing) }

// Drain accepts what waits at the listeners and closes them, closes connections as they
// become idle, and waits until none is left. When ctx ends first, it ends the requests
// that are still under way, so that their callers get an answer that says so, and returns
// a *CutError. The answers may take lastAnswers.
func (s *Server) Drain(ctx context.Context, lastAnswers time.Duration) error {
	s.closeListeners(ctx)
	empty := s.closeIdle()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
	}
	cut := &CutError{Open: s.openCount(), Cause: ctx.Err()}
	s.cancelRequests(&StoppedError{})
	s.endReads()
	timer := s.common.Clock.NewTimer(lastAnswers)
	defer timer.Stop()
	select {
	case <-empty:
	case <-timer.Chan():
	}
	return cut
}

// LastAnswersTime is enough to answer requests that were ended.
const LastAnswersTime = 100 * time.Millisecond

// StoppedError is the cause with which the context of a request ends when the time for a
// stop is over.
type StoppedError struct{}

// Error implements error.
func (e *StoppedError) Error() string { return "the time for the stop of the daemon is over" }

// IsStopped reports whether the context of a request ended since the time for a stop is
// over.
func IsStopped(ctx context.Context) bool {
	var stopped *StoppedError
	return errors.As(context.Cause(ctx), &stopped)
}

// backlogPollPeriod is the time between two looks at connections that wait to be
// accepted.
const backlogPollPeriod = time.Millisecond

// closeListeners closes the listeners once no connection waits there: the kernel resets
// those that are not accepted.
func (s *Server) closeListeners(ctx context.Context) {
	s.setStage(draining)
	s.mutex.Lock()
	listeners := s.listeners
	s.mutex.Unlock()
	for _, listener := range listeners {
		for socket.HasPending(listener) {
			if clock.Sleep(ctx, s.common.Clock, backlogPollPeriod) != nil {
				break
			}
		}
		if err := listener.Close(); err != nil {
			s.common.Log.Error(err, "ListenerNotClosed", "Address", listener.Addr().String())
		}
	}
	s.accepting.Wait()
}

// closeIdle closes the idle connections. The returned channel is closed when no
// connection is open.
func (s *Server) closeIdle() <-chan struct{} {
	s.mutex.Lock()
	s.empty = make(chan struct{})
	s.signalEmpty()
	empty := s.empty
	s.mutex.Unlock()
	for _, c := range s.connections() {
		c.closeForStop()
	}
	return empty
}

// signalEmpty closes empty if no connection is open. The mutex must be held.
func (s *Server) signalEmpty() {
	if s.empty == nil || len(s.open) > 0 {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// endReads ends the reads of handlers that wait for the rest of a body.
func (s *Server) endReads() {
	for _, c := range s.connections() {
		c.endReads()
	}
}

// connections returns the open connections.
func (s *Server) connections() []*connection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Collect(maps.Keys(s.open))
}

func (s *Server) openCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.open)
}

func (s *Server) setStage(next stage) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stage = max(s.stage, next)
}

func (s *Server) currentStage() stage {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stage
}
