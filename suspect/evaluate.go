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
func (t *SegmentTracker) update(now time.Time) {
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
func (t *SegmentTracker) expire(now time.Time) {
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

// unclearedAttempts returns the attempts of a crash without the segments that were cleared of it.
// The mutex must be held.
func (t *SegmentTracker) unclearedAttempts(c crash) []Attempt {
	left := crash{at: c.at}
	for _, a := range c.attempts {
		isCleared := func(segment string) bool { return t.isCleared(segment, c.at) }
		if slices.ContainsFunc(a.Segments, isCleared) {
			a.Segments = slices.DeleteFunc(slices.Clone(a.Segments), isCleared)
		}
		if len(a.Segments) > 0 {
			left = left.merge(crash{at: c.at, attempts: []Attempt{a}}, t.options.MaxAttempts)
		}
	}
	return left.attempts
}

// sortedCrashes returns the crashes in the order of their times. The mutex must be held.
func (t *SegmentTracker) sortedCrashes() []crash {
	return slices.SortedFunc(maps.Values(t.crashes), crash.compareTime)
}

// crashesInRow counts the crashes in a row that a segment was not cleared of. The mutex must be
// held.
func (t *SegmentTracker) crashesInRow(segment string, crashes []crash) int {
	var r row
	for _, c := range crashes {
		sent, found := c.sentWith([]string{segment})
		if found && !t.isCleared(segment, c.at) {
			r = r.add(sent, c.at)
		}
	}
	return r.count
}

// evaluate looks for new findings in the crashes that have settled. The mutex must be held.
func (t *SegmentTracker) evaluate(now time.Time) {
	crashes := slices.DeleteFunc(t.sortedCrashes(), func(c crash) bool { return now.Sub(c.at) < t.options.Settling })
	for _, f := range findCauses(crashes, t.options.Threshold) {
		t.found(f)
	}
}

// found adds a finding and reports it if it is new. The mutex must be held.
func (t *SegmentTracker) found(f Finding) {
	if t.addFinding(f) {
		t.report(SegmentsFound, f)
	}
}

// addFinding adds a finding, or what is known of it elsewhere, and returns whether it is new.
// Of two findings of which one contains the other, that with fewer segments applies to more
// requests and is kept. The mutex must be held.
func (t *SegmentTracker) addFinding(added Finding) bool {
	for key, known := range t.findings {
		switch {
		case key == added.Key():
			t.findings[key] = known.merge(added)
			return false
		case containsAll(added.Segments, known.Segments):
			return false
		case containsAll(known.Segments, added.Segments):
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

// narrowFindings takes a segment that was cleared out of the findings whose crashes are all
// older than its answer. The mutex must be held.
func (t *SegmentTracker) narrowFindings(segment string, began, now time.Time) {
	for _, f := range t.sortedFindings() {
		if !slices.Contains(f.Segments, segment) || !began.After(f.Since) {
			continue
		}
		t.clearances.Add(segment, now)
		if len(f.Segments) == 1 {
			t.removeFinding(f.Key(), f)
			continue
		}
		delete(t.findings, f.Key())
		narrowed := f.without(segment)
		if t.addFinding(narrowed) {
			t.report(SegmentsNarrowed, narrowed)
		}
	}
}

// removeFinding ends a finding. The mutex must be held.
func (t *SegmentTracker) removeFinding(key string, f Finding) {
	delete(t.findings, key)
	t.report(SegmentsCleared, f)
}

func (t *SegmentTracker) sortedFindings() []Finding {
	return slices.SortedFunc(maps.Values(t.findings), func(x, y Finding) int { return slices.Compare(x.Segments, y.Segments) })
}

func (t *SegmentTracker) report(kind FindingChangeKind, f Finding) {
	if t.options.OnChange != nil {
		t.options.OnChange(FindingChange{Kind: kind, Finding: f})
	}
}
