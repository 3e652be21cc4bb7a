// Package retry decides whether and when a failed request is retried. It performs no
// I/O.
package retry

import (
	"math"
	"sync"
	"time"
)

// BudgetOptions are the settings of a Budget.
type BudgetOptions struct {
	// Share is the number of retries that each request adds to the budget.
	Share float64
	// Window is the time constant with which the retries added by requests decay.
	Window time.Duration
	// FloorPerSecond is the rate of retries that is allowed without any traffic.
	FloorPerSecond float64
	// Burst bounds the retries that accumulate at FloorPerSecond.
	Burst float64
}

// DefaultBudgetOptions returns the defaults.
func DefaultBudgetOptions() BudgetOptions {
	return BudgetOptions{Share: 0.2, Window: 30 * time.Second, FloorPerSecond: 1, Burst: 10}
}

// Budget limits retries to a share of recent traffic, so that retries cannot amplify
// an overload. It is safe for concurrent use.
type Budget struct {
	options BudgetOptions

	mu sync.Mutex
	// earned is the number of retries allowed by recent requests, never negative.
	earned float64
	// floor is the number of retries accumulated over time, from 0 to Burst.
	floor float64
	// updated is the latest time seen; it never decreases.
	updated time.Time
}

// NewBudget returns a budget that allows a full burst of retries.
func NewBudget(options BudgetOptions, now time.Time) *Budget {
	return &Budget{options: options, floor: options.Burst, updated: now}
}

// Deposit records a new request.
func (b *Budget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.earned += b.options.Share
}

// Withdraw takes one retry from the budget. It returns false if the budget is
// exhausted.
func (b *Budget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	switch {
	case b.floor >= 1:
		b.floor--
	case b.earned >= 1:
		b.earned--
	default:
		return false
	}
	return true
}

func (b *Budget) advance(now time.Time) {
	passed := now.Sub(b.updated)
	if passed <= 0 {
		return
	}
	b.updated = now
	b.earned *= math.Exp(-passed.Seconds() / b.options.Window.Seconds())
	b.floor = min(b.floor+passed.Seconds()*b.options.FloorPerSecond, b.options.Burst)
}
