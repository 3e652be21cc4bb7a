package suspect

import (
	"slices"
	"strings"
	"time"
)

// Finding says that requests with certain segments crash the runners that answer them. It is
// immutable.
type Finding struct {
	// Segments are sorted IDs, at least one. A request must have all of them.
	Segments []string
	// Since and Last are the times of the first and the last crash.
	Since, Last time.Time
	// Crashes is the number of crashes in a row.
	Crashes int
	// Trials is the number of requests that were sent to runners since, to see whether the
	// segments still crash them.
	Trials int
}

// FindingChangeKind is the kind of a change of a finding.
type FindingChangeKind string

// The kinds of changes.
const (
	// SegmentsFound means that requests with the segments are refused from now on.
	SegmentsFound FindingChangeKind = "SegmentsFound"
	// SegmentsNarrowed means that one of the segments was cleared, and that requests with the
	// others are refused.
	SegmentsNarrowed FindingChangeKind = "SegmentsNarrowed"
	// SegmentsCleared means that requests with the segments are not refused any more.
	SegmentsCleared FindingChangeKind = "SegmentsCleared"
)

// FindingChange is a change of a finding.
type FindingChange struct {
	Kind    FindingChangeKind
	Finding Finding
}

// segmentSeparator separates the IDs of segments in a key. IDs don't contain it.
const segmentSeparator = ","

// Key identifies the segments of the finding.
func (f Finding) Key() string { return strings.Join(f.Segments, segmentSeparator) }

// appliesTo reports whether a request with the segments is refused.
func (f Finding) appliesTo(segments []string) bool { return containsAll(segments, f.Segments) }

// containsAll reports whether all of the parts are contained.
func containsAll(segments, parts []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return !slices.Contains(segments, part) })
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

// without returns the finding without a segment that was cleared.
func (f Finding) without(segment string) Finding {
	f.Segments = slices.DeleteFunc(slices.Clone(f.Segments), func(s string) bool { return s == segment })
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
