package suspect

import (
	"maps"
	"slices"
	"time"
)

// minEvaluationPeriod is the least time between two evaluations of the crashes.
const minEvaluationPeriod = 100 * time.Millisecond

// update drops what has expired and evaluates the crashes that have settled since the last
// time. The mutex must be held.
func (t *CrashTracker) update(now time.Time) {
	if t.evaluateAt.IsZero() || now.Before(t.evaluateAt) {
		return
	}
	t.evaluateAt = time.Time{}
	t.expire(now)
	t.evaluate(now)
	for _, c := range t.crashes {
		if settled := c.at.Add(t.options.Settling); settled.After(now) {
			t.evaluateBy(maxTime(settled, now.Add(minEvaluationPeriod)))
		}
	}
	t.evaluateBy(now.Add(t.options.Lifetime / expiryChecks))
}

// expiryChecks is the number of checks for expired crashes in the lifetime of one.
const expiryChecks = 20

// expire drops what has expired, and the suspects that were cleared. The mutex must be held.
func (t *CrashTracker) expire(now time.Time) {
	for runner, c := range t.crashes {
		c.attempts = t.unclearedAttempts(c)
		if len(c.attempts) == 0 || now.Sub(c.at) >= t.options.Lifetime {
			delete(t.crashes, runner)
			continue
		}
		t.crashes[runner] = c
	}
	t.crashCount.Store(int64(len(t.crashes)))
	for key, f := range t.findings {
		if now.Sub(f.Last) >= t.options.Lifetime {
			t.removeFinding(key, f)
		}
	}
}

// unclearedAttempts returns the attempts of a crash without the traits that were cleared of it.
// The mutex must be held.
func (t *CrashTracker) unclearedAttempts(c crash) []Attempt {
	left := crash{at: c.at}
	for _, a := range c.attempts {
		isCleared := func(trait string) bool { return t.isCleared(trait, c.at) }
		if slices.ContainsFunc(a.Traits, isCleared) {
			a.Traits = slices.DeleteFunc(slices.Clone(a.Traits), isCleared)
		}
		if len(a.Traits) > 0 {
			left = left.merge(crash{at: c.at, attempts: []Attempt{a}}, t.options.MaxAttempts)
		}
	}
	return left.attempts
}

// sortedCrashes returns the crashes in the order of their times. The mutex must be held.
func (t *CrashTracker) sortedCrashes() []crash {
	return slices.SortedFunc(maps.Values(t.crashes), crash.compareTime)
}

// unexplainedCrashes returns the crashes that no finding explains, in the order of their times. The
// mutex must be held.
func (t *CrashTracker) unexplainedCrashes() []crash {
	return slices.DeleteFunc(t.sortedCrashes(), func(c crash) bool {
		for _, f := range t.findings {
			if _, found := c.sentWith(f.Traits); found {
				return true
			}
		}
		return false
	})
}

// crashesInRow counts the crashes in a row that a trait was not cleared of. The mutex must be
// held.
func (t *CrashTracker) crashesInRow(trait string, crashes []crash) int {
	r := row{separation: t.options.Separation}
	for _, c := range crashes {
		sent, found := c.sentWith([]string{trait})
		if found && !t.isCleared(trait, c.at) {
			r = r.add(sent, c.at)
		}
	}
	return r.count
}

// evaluate looks for new findings in the crashes that have settled. The mutex must be held.
func (t *CrashTracker) evaluate(now time.Time) {
	crashes := slices.DeleteFunc(t.sortedCrashes(), func(c crash) bool { return now.Sub(c.at) < t.options.Settling })
	for _, f := range findCauses(crashes, t.options) {
		t.found(f)
	}
}

// found adds a finding and reports it if it is new. The mutex must be held.
func (t *CrashTracker) found(f Finding) {
	if t.addFinding(f) {
		t.report(CauseFound, f)
	}
}

// addFinding adds a finding, or what is known of it elsewhere, and returns whether it is new.
// Of two findings of which one contains the other, that with fewer traits applies to more
// requests and is kept. The mutex must be held.
func (t *CrashTracker) addFinding(added Finding) bool {
	for key, known := range t.findings {
		switch {
		case key == added.Key():
			t.findings[key] = known.merge(added)
			return false
		case containsAll(added.Traits, known.Traits):
			return false
		case containsAll(known.Traits, added.Traits):
			added = added.merge(known)
			delete(t.findings, key)
		}
	}
	if len(t.findings) >= t.options.MaxFindings {
		oldest := slices.MinFunc(t.sortedFindings(), func(x, y Finding) int { return x.Last.Compare(y.Last) })
		t.removeFinding(oldest.Key(), oldest)
	}
	t.findings[added.Key()] = added
	return true
}

// narrowFindings takes a trait that was cleared out of the findings whose crashes are all
// older than its answer. The mutex must be held.
func (t *CrashTracker) narrowFindings(trait string, began, now time.Time) {
	for _, f := range t.sortedFindings() {
		if !slices.Contains(f.Traits, trait) || !began.After(f.Since) {
			continue
		}
		t.clearances.Add(trait, now)
		if len(f.Traits) == 1 {
			t.removeFinding(f.Key(), f)
			continue
		}
		delete(t.findings, f.Key())
		narrowed := f.without(trait)
		if t.addFinding(narrowed) {
			t.report(CauseNarrowed, narrowed)
		}
	}
}

// removeFinding ends a finding. The mutex must be held.
func (t *CrashTracker) removeFinding(key string, f Finding) {
	delete(t.findings, key)
	t.report(CauseCleared, f)
}

func (t *CrashTracker) sortedFindings() []Finding {
	return slices.SortedFunc(maps.Values(t.findings), func(x, y Finding) int { return slices.Compare(x.Traits, y.Traits) })
}

func (t *CrashTracker) report(kind FindingChangeKind, f Finding) {
	if t.options.OnChange != nil {
		t.options.OnChange(FindingChange{Kind: kind, Finding: f})
	}
}
