package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/inventory"
)

// runner is what is known of one start of a runner.
type runner struct {
	entry inventory.Runner
	// running and prefill count what this daemon has there.
	running, prefill int
	cache            *promptCache
	// score is between 0 and 1 and rises with failures; scored is when it
	// was worked out.
	score  float64
	scored time.Time
	// downUntil is when an unreachable runner is tried again, and downFor the
	// last time that it was left out.
	downUntil time.Time
	downFor   time.Duration
	// heard is when the runner last sent something to this daemon.
	heard time.Time
	// isReplaced is true when another runner was seen at the address.
	isReplaced bool
}

func newRunner(entry inventory.Runner) *runner {
	return &runner{entry: entry, cache: newPromptCache()}
}

// failureWeight is the weight of the newest result in the failure score.
const failureWeight = 0.2

// failing returns the failure score at a time, between 0 and 1.
func (r *runner) failing(now time.Time, memory time.Duration) float64 {
	passed := now.Sub(r.scored)
	if passed <= 0 {
		return r.score
	}
	return r.score * math.Exp(-passed.Seconds()/memory.Seconds())
}

func (r *runner) note(failed bool, now time.Time, memory time.Duration) {
	score := r.failing(now, memory) * (1 - failureWeight)
	if failed {
		score += failureWeight
	}
	r.score, r.scored = score, now
}

// unreachable leaves the runner out for a time that doubles.
func (r *runner) unreachable(now time.Time, first, most time.Duration) {
	if now.Before(r.downUntil) {
		return
	}
	r.downFor = min(max(2*r.downFor, first), most)
	r.downUntil = now.Add(r.downFor)
}

// guessedShare is the part of a shared prompt that is taken to be cached at the
// runner that all daemons prefer for it, before anything was sent there.
const guessedShare = 1.0

// uncached estimates the prompt tokens that the runner has to prefill.
func (r *runner) uncached(need Need, preferred bool) int {
	if need.PromptTokens == 0 {
		return 0
	}
	cached := r.cache.match(need.Prompt)
	if preferred {
		cached = max(cached, int(guessedShare*float64(sharedTokens(need.Prompt))))
	}
	return max(need.PromptTokens-cached, 0)
}

// sharedTokens counts the tokens of the parts that other requests may share:
// all but the last.
func sharedTokens(prompt []call.Part) int {
	total := 0
	for i := range len(prompt) - 1 {
		total += prompt[i].Tokens
	}
	return total
}

// preferredRunner returns the runner that all daemons prefer for the shared
// parts of a prompt, by rendezvous hashing, or nil if there are none.
func preferredRunner(candidates []*runner, prompt []call.Part) *runner {
	if len(prompt) < 2 {
		return nil
	}
	shared := prompt[len(prompt)-2].ID
	var best *runner
	var most uint64
	for _, r := range candidates {
		digest := xxhash.New()
		_, _ = digest.WriteString(shared)
		_, _ = digest.WriteString(r.entry.ID)
		if sum := digest.Sum64(); best == nil || sum > most {
			best, most = r, sum
		}
	}
	return best
}

func meanFailing(runners []*runner, now time.Time, memory time.Duration) float64 {
	total := 0.0
	for _, r := range runners {
		total += r.failing(now, memory)
	}
	return total / float64(len(runners))
}
