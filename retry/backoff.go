package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// BackoffOptions shapes the waits between attempts.
type BackoffOptions struct {
	// First bounds the wait before the second attempt.
	First time.Duration
	// Most bounds every wait.
	Most time.Duration
	// Factor multiplies the bound from attempt to attempt.
	Factor float64
}

// DefaultBackoffOptions returns the defaults.
func DefaultBackoffOptions() BackoffOptions {
	return BackoffOptions{First: 20 * time.Millisecond, Most: time.Second, Factor: 3}
}

// Backoff draws waits with full jitter. It is safe for use by several
// goroutines.
type Backoff struct {
	options BackoffOptions

	mu     sync.Mutex
	random *rand.Rand
}

// NewBackoff returns a backoff that draws from source.
func NewBackoff(options BackoffOptions, source rand.Source) *Backoff {
	return &Backoff{options: options, random: rand.New(source)}
}

// Wait returns how long to wait after that many failed attempts, from 1. It
// returns false when the wait would reach the deadline.
func (b *Backoff) Wait(failed int, now, deadline time.Time) (time.Duration, bool) {
	bound := float64(b.options.First)
	for range failed - 1 {
		bound = min(bound*b.options.Factor, float64(b.options.Most))
	}
	b.mu.Lock()
	wait := time.Duration(b.random.Float64() * bound)
	b.mu.Unlock()
	if !deadline.IsZero() && !now.Add(wait).Before(deadline) {
		return 0, false
	}
	return wait, true
}
