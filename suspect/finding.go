package suspect

import (
	"slices"
	"strings"
	"time"
)

// Finding says that requests with certain traits crash the runners that answer them. It is
// immutable.
type Finding struct {
	// Traits are sorted IDs, at least one. A request must have all of them.
	Traits []string
	// Since and Last are the times of the first and the last crash.
	Since, Last time.Time
	// Crashes is the number of crashes in a row.
	Crashes int
	// Trials is the number of requests that were sent to runners since, to see whether the
	// traits still crash them.
	Trials int
}

// FindingChangeKind is the kind of a change of a finding.
type FindingChangeKind string

// The kinds of changes.
const (
	// CauseFound means that requests with the traits are refused from now on.
	CauseFound FindingChangeKind = "CauseFound"
	// CauseNarrowed means that one of the traits was cleared, and that requests with the
	// others are refused.
	CauseNarrowed FindingChangeKind = "CauseNarrowed"
	// CauseCleared means that requests with the traits are not refused any more.
	CauseCleared FindingChangeKind = "CauseCleared"
)

// FindingChange is a change of a finding.
type FindingChange struct {
	Kind    FindingChangeKind
	Finding Finding
}

// traitSeparator separates the IDs of traits in a key. IDs don't contain it.
const traitSeparator = ","

// Key identifies the traits of the finding.
func (f Finding) Key() string { return strings.Join(f.Traits, traitSeparator) }

// appliesTo reports whether a request with the traits is refused.
func (f Finding) appliesTo(traits []string) bool { return containsAll(traits, f.Traits) }

// containsAll reports whether all of the parts are contained.
func containsAll(traits, parts []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return !slices.Contains(traits, part) })
}

// isTrialDue reports whether the next request may be sent to a runner.
func (f Finding) isTrialDue(delays []time.Duration, now time.Time) bool {
	return f.Trials < len(delays) && now.Sub(f.Last) >= delays[f.Trials]
}

// withTrial returns the finding after another trial, which counts as a crash until it is
// answered.
func (f Finding) withTrial(now time.Time) Finding {
	f.Trials++
	f.Last = now
	return f
}

// without returns the finding without a trait that was cleared.
func (f Finding) without(trait string) Finding {
	f.Traits = slices.DeleteFunc(slices.Clone(f.Traits), func(s string) bool { return s == trait })
	return f
}

// merge returns the finding with what is known of it elsewhere.
func (f Finding) merge(other Finding) Finding {
	if other.Since.Before(f.Since) {
		f.Since = other.Since
	}
	f.Last = maxTime(f.Last, other.Last)
	f.Crashes = max(f.Crashes, other.Crashes)
	f.Trials = max(f.Trials, other.Trials)
	return f
}
