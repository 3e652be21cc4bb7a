// Package route chooses the runner for a call. It holds a daemon's view of the
// runners' load and prefix caches, and the policies that choose by it.
package route

import "time"

// Call describes a request as far as routing depends on it.
type Call struct {
	// PromptTokens is the estimated number of tokens in the prompt.
	PromptTokens int
	// Blocks are the chained hashes of the prompt, as package prefix
	// computes them.
	Blocks []uint64
	// MaxTokens bounds the tokens of the answer; 0 means unknown.
	MaxTokens int
	// FirstToken is the target for the time to first token; 0 means no target.
	FirstToken time.Duration
	// BetweenTokens is the target for the mean time between tokens; 0 means no
	// target.
	BetweenTokens time.Duration
	// CostWeight is the weight of the runner's price.
	CostWeight float64
	// RecomputeWeight is the weight of prompt tokens that are not cached at the
	// runner and have to be prefilled.
	RecomputeWeight float64
	// Priority orders calls under overload; the lowest is refused first.
	Priority int
	// Resumed is true for a call that was accepted earlier and continues at
	// another runner. Such a call is never refused because of overload.
	Resumed bool
	// Zone is the availability zone of the daemon.
	Zone string
	// Allowed reports whether the call may go to a runner; nil allows all.
	Allowed func(runner *Runner) bool
}

// allows reports whether the call may go to runner.
func (c *Call) allows(runner *Runner) bool {
	return !runner.Leaving && (c.Allowed == nil || c.Allowed(runner))
}
