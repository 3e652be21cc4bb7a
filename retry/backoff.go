package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// BackoffOptions are the settings of a Backoff.
type BackoffOptions struct {
	// Initial is the upper bound of the wait before the second attempt.
	Initial time.Duration
	// Max is the upper bound of every wait.
	Max time.Duration
	// Factor multiplies the upper bound from attempt to attempt.
	Factor float64
}

// DefaultBackoffOptions returns the defaults.
func DefaultBackoffOptions() BackoffOptions {
	return BackoffOptions{Initial: 20 * time.Millisecond, Max: time.Second, Factor: 3}
}

// Backoff computes exponential backoff with full jitter. It is safe for concurrent
// use.
type Backoff struct {
	options BackoffOptions

	mu     sync.Mutex
	random *rand.Rand
}

// NewBackoff returns a backoff that takes its jitter from source.
func NewBackoff(options BackoffOptions, source rand.Source) *Backoff {
	return &Backoff{options: options, random: rand.New(source)}
}

// Wait returns how long to wait after the given number of failed attempts, which is
// at least 1. It returns false if the wait would reach the deadline.
func (b *Backoff) Wait(failed int, now, deadline time.Time) (time.Duration, bool) {
	bound := min(float64(b.options.Initial), float64(b.options.Max))
	for range failed - 1 {
		bound = min(bound*b.options.Factor, float64(b.options.Max))
	}
	b.mu.Lock()
	wait := time.Duration(b.random.Float64() * bound)
	b.mu.Unlock()
	if !deadline.IsZero() && !now.Add(wait).Before(deadline) {
		return 0, false
	}
	return wait, true
}
