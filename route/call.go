// Package route chooses the runner for a call. It holds what a daemon knows
// of the runners' load and prefix caches, and policies that choose by it.
package route

import "time"

// Call describes a request as far as routing depends on it.
type Call struct {
	// PromptTokens estimates the tokens of the prompt.
	PromptTokens int
	// Blocks are the chained hashes of the prompt, as package prefix
	// computes them.
	Blocks []uint64
	// MaxTokens bounds the tokens of the answer; 0 when it is not known.
	MaxTokens int
	// FirstToken is the target for the time to first token; 0 is no target.
	FirstToken time.Duration
	// BetweenTokens is the target for the mean time between tokens; 0 is no
	// target.
	BetweenTokens time.Duration
	// CostWeight is the weight of the runner's price.
	CostWeight float64
	// RecomputeWeight is the weight of prompt tokens that the runner has to
	// prefill because it does not cache them.
	RecomputeWeight float64
	// Priority orders calls under overload; the lowest is refused first.
	Priority int
	// Resumed says that the call was accepted before and continues at
	// another runner. It is not refused for load.
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
