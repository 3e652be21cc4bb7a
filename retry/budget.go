// Package retry decides whether and when a failed request is sent again. It
// has no input or output.
package retry

import (
	"math"
	"sync"
	"time"
)

// BudgetOptions bounds the retries of a daemon.
type BudgetOptions struct {
	// Share is the number of retries that each request allows.
	Share float64
	// Window is the time constant with which old traffic loses its weight.
	Window time.Duration
	// FloorPerSecond is the rate of retries that is always allowed.
	FloorPerSecond float64
	// Burst bounds the retries that can be saved up by the floor.
	Burst float64
}

// DefaultBudgetOptions returns the defaults.
func DefaultBudgetOptions() BudgetOptions {
	return BudgetOptions{Share: 0.2, Window: 30 * time.Second, FloorPerSecond: 1, Burst: 10}
}

// Budget bounds retries by a share of recent traffic, so that retries cannot
// multiply a load that is already too high. It is safe for use by several
// goroutines.
type Budget struct {
	options BudgetOptions

	mu sync.Mutex
	// earned is what recent requests allow; it is never negative.
	earned float64
	// floor is what passed time allows, between zero and Burst.
	floor float64
	// updated never goes back.
	updated time.Time
}

// NewBudget returns a budget with a full floor.
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

// Withdraw takes one retry. It returns false when the budget is spent.
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
