package backend

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/clock"
)

// silence bounds the time without a byte while bytes are waited for. While the
// answer is passed on to a slow caller, nothing is waited for.
type silence struct {
	bound time.Duration

	mu    sync.Mutex
	timer clockwork.Timer
	// listening is true while the timer runs.
	listening bool
}

// newSilence calls onSilence, in a goroutine of its own, when the bound is
// reached.
func newSilence(clock clock.Clock, bound time.Duration, onSilence func()) *silence {
	s := &silence{bound: bound}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = clock.AfterFunc(bound, onSilence)
	s.timer.Stop()
	return s
}

// listen starts to wait for bytes.
func (s *silence) listen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listening = true
	s.timer.Reset(s.bound)
}

// heard notes that bytes came.
func (s *silence) heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listening {
		s.timer.Reset(s.bound)
	}
}

// pause stops waiting for bytes.
func (s *silence) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listening = false
	s.timer.Stop()
}
