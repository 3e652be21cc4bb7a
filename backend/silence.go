package backend

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/clock"
)

// silenceTimer is a timeout for the time without data from the backend server: a header,
// an event of a stream or bytes of another body. It runs only while the exchange waits
// for the backend server, not while the answer is passed on to a slow caller.
type silenceTimer struct {
	timeout time.Duration

	mu    sync.Mutex
	timer clockwork.Timer
	// running is true while the timer runs.
	running bool
	// expired is true when the timeout has expired since the last data.
	expired bool
}

// newSilenceTimer returns a stopped timer. It calls onSilence in a separate
// goroutine when the timeout expires.
func newSilenceTimer(clock clock.Clock, timeout time.Duration, onSilence func()) *silenceTimer {
	s := &silenceTimer{timeout: timeout}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = clock.AfterFunc(timeout, onSilence)
	s.timer.Stop()
	return s
}

// start starts the timer when the exchange begins to wait for bytes.
func (s *silenceTimer) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running, s.expired = true, false
	s.timer.Reset(s.timeout)
}

// reset restarts a running timer when data is received.
func (s *silenceTimer) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running {
		s.expired = false
		s.timer.Reset(s.timeout)
	}
}

// silenceInterval is the time between two reports of the same silence.
const silenceInterval = 250 * time.Millisecond

// repeat starts an expired timer again with a shorter timeout.
func (s *silenceTimer) repeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running {
		s.expired = true
		s.timer.Reset(silenceInterval)
	}
}

// isExpired reports whether the timeout has expired since the last data.
func (s *silenceTimer) isExpired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expired
}

// stop stops the timer while the exchange does not wait for bytes.
func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = false
	s.timer.Stop()
}
