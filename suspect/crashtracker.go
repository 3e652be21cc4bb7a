package suspect

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// CrashTracker finds the traits of requests that crash the runners which answer them. A trait
// is what requests may have in common: a segment of their prompts, or their content.
// CrashTracker is safe for concurrent use.
//
// A crash breaks off all requests at its runner. Those that its user records are its suspects,
// and so are their traits. An answer to a request clears its traits of all crashes before the
// answer began. What is left after some crashes in a row crashes runners. Traits that
// only ever come together are found together, and only requests with all of them are refused.
type CrashTracker struct {
	options CrashOptions
	// crashCount is the number of crashes, so that nothing is locked while there are none.
	crashCount atomic.Int64

	mutex sync.Mutex
	// crashes holds the crashes by runner, at most MaxCrashes.
	crashes map[uint64]crash
	// disproved holds when a runner that seemed to have crashed has sent data since.
	disproved *lru.Cache[uint64, time.Time]
	// answered holds when the last answer to a request with a trait began.
	answered *lru.Cache[string, time.Time]
	// clearances holds when traits were cleared of crashes, as they are told to others.
	clearances *lru.Cache[string, time.Time]
	// findings holds at most MaxFindings findings by their key. None of them contains
	// another one.
	findings map[string]Finding
	// evaluateAt is when the crashes must be evaluated again, or zero.
	evaluateAt time.Time
}

// NewCrashTracker returns a CrashTracker without crashes.
func NewCrashTracker(options CrashOptions) *CrashTracker {
	t := &CrashTracker{options: options, crashes: make(map[uint64]crash), findings: make(map[string]Finding)}
	// The only failure of lru.New is a size below 1.
	t.disproved, _ = lru.New[uint64, time.Time](max(options.MaxCrashes, 1))
	t.answered, _ = lru.New[string, time.Time](max(options.MaxAnswered, 1))
	t.clearances, _ = lru.New[string, time.Time](max(options.MaxAttempts, 1))
	return t
}

// RecordCrash records that a runner has broken off an attempt, as a crash does. runner identifies
// the incarnation of the runner, so that one crash that breaks off several attempts counts once.
func (t *CrashTracker) RecordCrash(runner uint64, attempt Attempt, now time.Time) {
	if len(attempt.Traits) == 0 {
		return
	}
	attempt.isOwn = true
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.addCrash(crash{runner: runner, at: now, attempts: []Attempt{attempt}}, now)
}

// addCrash adds a crash, or what another daemon knows of it. The mutex must be held.
func (t *CrashTracker) addCrash(added crash, now time.Time) {
	if t.isDisproved(added) || now.Sub(added.at) >= t.options.Lifetime {
		return
	}
	known, found := t.crashes[added.runner]
	switch {
	case !found:
		t.evictCrash()
		t.crashes[added.runner] = added
	case t.refutes(added, known):
		t.crashes[added.runner] = added
	case !t.refutes(known, added):
		t.crashes[added.runner] = known.merge(added, t.options.MaxAttempts)
	}
	t.crashCount.Store(int64(len(t.crashes)))
	t.evaluateBy(added.at.Add(t.options.Settling))
}

// refutes reports whether the runner had only lost a connection at an earlier crash: it was still
// in use long after it. A daemon that was paused may notice a crash as late.
func (t *CrashTracker) refutes(later, earlier crash) bool {
	return later.lastSent().After(earlier.at.Add(t.options.RemovalTime))
}

// evictCrash makes room for a crash. The mutex must be held.
func (t *CrashTracker) evictCrash() {
	if len(t.crashes) < t.options.MaxCrashes {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(t.crashes)), crash.compareTime)
	delete(t.crashes, oldest.runner)
}

// evaluateBy makes the next evaluation no later than at. The mutex must be held.
func (t *CrashTracker) evaluateBy(at time.Time) {
	if t.evaluateAt.IsZero() || at.Before(t.evaluateAt) {
		t.evaluateAt = at
	}
}

// RecordData records that a runner has sent data for an attempt that was sent earlier. If the
// runner seemed to have crashed meanwhile, it has not: only a connection was lost.
func (t *CrashTracker) RecordData(runner uint64, sent, now time.Time) {
	if t.crashCount.Load() == 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.crashes[runner]
	if !found || sent.After(known.at.Add(t.options.LifeSignWindow)) || now.Before(known.at.Add(t.options.LifeSignDelay)) {
		return
	}
	t.disprove(runner, now)
}

// disprove drops the crashes of a runner before it has sent data at a time. The mutex must be
// held.
func (t *CrashTracker) disprove(runner uint64, at time.Time) {
	if last, found := t.disproved.Get(runner); found && !at.After(last) {
		return
	}
	t.disproved.Add(runner, at)
	if known, found := t.crashes[runner]; found && t.isDisproved(known) {
		delete(t.crashes, runner)
		t.crashCount.Store(int64(len(t.crashes)))
	}
}

// isDisproved reports whether a runner has sent data after a crash. The mutex must be held.
func (t *CrashTracker) isDisproved(c crash) bool {
	at, found := t.disproved.Peek(c.runner)
	return found && at.After(c.at)
}

// RecordAnswer records an answer that began at a time and has shown since that its runner did
// not crash on it.
func (t *CrashTracker) RecordAnswer(traits []string, began, now time.Time) {
	if len(traits) == 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, trait := range traits {
		t.clear(trait, began, now)
	}
}

// clear clears a trait of the crashes before a time. The mutex must be held.
func (t *CrashTracker) clear(trait string, began, now time.Time) {
	if last, found := t.answered.Get(trait); found && !began.After(last) {
		return
	}
	t.answered.Add(trait, began)
	if t.isSuspect(trait) {
		t.clearances.Add(trait, now)
	}
	t.narrowFindings(trait, began, now)
}

// isSuspect reports whether a trait stands in a crash. The mutex must be held.
func (t *CrashTracker) isSuspect(trait string) bool {
	for _, c := range t.crashes {
		if _, found := c.sentWith([]string{trait}); found {
			return true
		}
	}
	return false
}

// isCleared reports whether an answer with a trait began after a time. The mutex must be
// held.
func (t *CrashTracker) isCleared(trait string, at time.Time) bool {
	last, found := t.answered.Peek(trait)
	return found && last.After(at)
}

// Admission says whether a request may be sent to a runner.
type Admission struct {
	// Refused is true if the traits of the request crash runners.
	Refused bool
	// IsTrial is true if the request is sent all the same, to see whether they still do.
	IsTrial bool
	// Finding is what was found about its traits, if one of the others is true.
	Finding Finding
}

// Admit decides whether a request with the traits may be sent to a runner. decides reports
// whether this daemon is the one that makes the trials of a finding, given its key.
func (t *CrashTracker) Admit(traits []string, decides func(key string) bool, now time.Time) Admission {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.update(now)
	matching := t.matching(traits)
	if len(matching) == 0 {
		return Admission{}
	}
	found := matching[0]
	if len(matching) > 1 || !found.isTrialDue(t.options.TrialDelays, now) || !decides(found.Key()) {
		return Admission{Refused: true, Finding: found}
	}
	found = found.withTrial(now)
	t.findings[found.Key()] = found
	return Admission{IsTrial: true, Finding: found}
}

// matching returns the findings that apply to a request. The mutex must be held.
func (t *CrashTracker) matching(traits []string) []Finding {
	var matching []Finding
	for _, f := range t.findings {
		if f.appliesTo(traits) {
			matching = append(matching, f)
		}
	}
	return matching
}

// IsSuspected reports whether a request with the traits must not be sent to another runner
// after a failure: they are refused, or have crashed RetryThreshold runners in a row.
func (t *CrashTracker) IsSuspected(traits []string, now time.Time) bool {
	if len(traits) == 0 {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.update(now)
	if len(t.matching(traits)) > 0 {
		return true
	}
	crashes := t.unexplainedCrashes()
	return slices.ContainsFunc(traits, func(trait string) bool {
		return t.crashesInRow(trait, crashes) >= t.options.RetryThreshold
	})
}

// Findings returns the findings in force, sorted by key.
func (t *CrashTracker) Findings(now time.Time) []Finding {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.update(now)
	return t.sortedFindings()
}
