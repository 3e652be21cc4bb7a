package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/capacity"
	"github.com/cranberrywalk/cranberrywalk/inventory"
)

// runner is the state of one incarnation of a runner.
type runner struct {
	entry inventory.Runner
	// running and prefillTokens are the load that this daemon puts on it.
	running, prefillTokens int
	cache                  *promptCache
	// failureScore is a decaying average of failures, between 0 and 1, as of
	// failureScoreTime.
	failureScore     float64
	failureScoreTime time.Time
	// downUntil is when an unreachable runner is tried again, and backoff the
	// last duration for which it was avoided.
	downUntil time.Time
	backoff   time.Duration
	// lastActivity is when this daemon last received data from the runner.
	lastActivity time.Time
	// isReplaced is true when another runner has answered at the address.
	isReplaced bool
	// signals is never nil.
	signals *signals
	// learned is what is learned from its answers. It is nil for a placeholder.
	learned *capacity.Runner
	// load is what it has said last of its load, and loadAt when.
	load   call.Load
	loadAt time.Time
}

func newRunner(entry inventory.Runner, s *signals) *runner {
	return &runner{entry: entry, cache: newPromptCache(), signals: s}
}

// isAvailable reports whether the runner may get new requests, reachable or not.
func (r *runner) isAvailable() bool {
	return r.entry.State == inventory.Ready && !r.isReplaced && !r.signals.isLeaving
}

// hasVersion reports whether the software has the version; every runner has an empty one.
func (r *runner) hasVersion(version string) bool {
	return version == "" || r.entry.Version == version
}

// AvailableRunners returns the number of runners of a service that have a software version and may
// get new requests.
func (b *Balancer) AvailableRunners(service, version string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	count := 0
	for _, r := range b.ordered {
		if r.entry.Service == service && r.hasVersion(version) && r.isAvailable() {
			count++
		}
	}
	return count
}

// failureWeight is the weight of the newest result in the failure score.
const failureWeight = 0.2

// decayedFailureScore returns the failure score at now, between 0 and 1.
func (r *runner) decayedFailureScore(now time.Time, timeConstant time.Duration) float64 {
	passed := now.Sub(r.failureScoreTime)
	if passed <= 0 || r.failureScore == 0 {
		return r.failureScore
	}
	return r.failureScore * math.Exp(-passed.Seconds()/timeConstant.Seconds())
}

func (r *runner) recordResult(failed bool, now time.Time, timeConstant time.Duration) {
	score := r.decayedFailureScore(now, timeConstant) * (1 - failureWeight)
	if failed {
		score += failureWeight
	}
	r.failureScore, r.failureScoreTime = score, now
}

// markUnreachable avoids the runner with exponential backoff.
func (r *runner) markUnreachable(now time.Time, initial, limit time.Duration) {
	if now.Before(r.downUntil) {
		return
	}
	r.backoff = min(max(2*r.backoff, initial), limit)
	r.downUntil = now.Add(r.backoff)
}

// assumedCachedFraction is the fraction of the shared segments of a prompt that is
// assumed to be cached at its preferred runner, even if this daemon has sent nothing
// there.
const assumedCachedFraction = 1.0

// uncached estimates the prompt tokens that are not cached at the runner.
func (r *runner) uncached(request Request, preferred bool) int {
	if request.PromptTokens == 0 {
		return 0
	}
	cached := r.cache.match(request.Prompt)
	if preferred {
		cached = max(cached, int(assumedCachedFraction*float64(sharedTokens(request.Prompt))))
	}
	return max(request.PromptTokens-cached, 0)
}

// sharedTokens counts the tokens of the segments that other requests may share.
func sharedTokens(prompt []call.PromptSegment) int {
	total := 0
	for _, segment := range call.SharedSegments(prompt) {
		total += segment.Tokens
	}
	return total
}

// preferredRunner returns the runner that all daemons prefer for the shared segments
// of a prompt, chosen by rendezvous hashing, or nil if the prompt has none.
func preferredRunner(candidates []*runner, prompt []call.PromptSegment) *runner {
	segments := call.SharedSegments(prompt)
	if len(segments) == 0 {
		return nil
	}
	shared := segments[len(segments)-1].ID
	var best *runner
	var highest uint64
	for _, r := range candidates {
		digest := xxhash.New()
		_, _ = digest.WriteString(shared)
		_, _ = digest.WriteString(r.entry.ID)
		if sum := digest.Sum64(); best == nil || sum > highest {
			best, highest = r, sum
		}
	}
	return best
}

func meanFailureScore(runners []*runner, now time.Time, timeConstant time.Duration) float64 {
	total := 0.0
	for _, r := range runners {
		total += r.decayedFailureScore(now, timeConstant)
	}
	return total / float64(len(runners))
}
