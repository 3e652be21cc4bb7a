package rollout

import (
	"slices"
	"time"
)

// Sums holds the counts of all daemon processes by cell, at several times.
type Sums struct {
	// trial holds the counts since the order, up to the end of the trial. In a trial, each
	// version gets the same share of the requests at all times, so that the versions can be
	// compared over all of it.
	trial counts
	// earlier is trial as it was LimitDelay ago. See Options.
	earlier counts
	// windows holds the counts of the latest times of several lengths, since a fault may begin
	// late. After the trial they contain hardly any responses of the old versions.
	windows []window
	// sinceLate is the time since MinTrialShare of the period had passed. Late faults are looked
	// for from then on.
	sinceLate time.Duration
	isSwitch  bool
	// cycle is the time from one turn of the target to the next, or zero if there are no turns.
	cycle time.Duration
	// marks holds the counts at times of the trial, the oldest first.
	marks []mark
}

// window holds the counts of a time up to now.
type window struct {
	counts counts
	length time.Duration
}

// mark is the state of the counts at a time.
type mark struct {
	at   time.Time
	sums counts
}

// history holds earlier states of counts.
type history struct {
	// marks holds states of the counts, the oldest first. None is added after the trial.
	marks []mark
	// switched is the state at the end of the trial, or nil. Those after it are in later.
	switched *mark
	later    []mark
}

const (
	// markInterval is the time between two marks.
	markInterval = time.Second
	// maxMarks covers the longest window.
	maxMarks = 32
)

// minWindow is the length of the shortest window.
const minWindow = 2 * time.Second

// windowLengths are the lengths of the windows in which a fault that began late is looked for.
var windowLengths = []time.Duration{16 * time.Second, 8 * time.Second, 4 * time.Second, minWindow}

// add adds a mark if the last one is old enough.
func (h *history) add(sums *counts, now time.Time) {
	marks := &h.marks
	if h.switched != nil {
		marks = &h.later
	}
	if n := len(*marks); n > 0 && now.Sub((*marks)[n-1].at) < markInterval {
		return
	}
	*marks = append(*marks, mark{at: now, sums: sums.clone()})
	*marks = (*marks)[max(0, len(*marks)-maxMarks):]
}

// sums returns the counts with their history.
func (h *history) sums(newest *counts, limitDelay, cycle time.Duration, now time.Time) Sums {
	if h.switched != nil {
		return h.sumsOfSwitch(newest, cycle, now)
	}
	result := Sums{trial: newest.clone(), marks: h.marks, cycle: cycle}
	if earlier, found := at(h.marks, now.Add(-limitDelay)); found {
		result.earlier = earlier.sums
	}
	for _, length := range windowLengths {
		if earlier, found := at(h.marks, now.Add(-length)); found {
			result.windows = append(result.windows, window{newest.since(earlier.sums), now.Sub(earlier.at)})
		}
	}
	return result
}

// sumsOfSwitch returns the counts after the trial: one window since its end, and shorter ones. After turns,
// the window begins once reports on the switch have come: until then they hold only the slow responses of
// the last turn.
func (h *history) sumsOfSwitch(newest *counts, cycle time.Duration, now time.Time) Sums {
	result := Sums{trial: h.switched.sums, marks: h.marks, isSwitch: true, cycle: cycle}
	first := *h.switched
	if cycle > 0 {
		reported := first.at.Add(reportAge)
		index := slices.IndexFunc(h.later, func(m mark) bool { return !m.at.Before(reported) })
		if index < 0 {
			return result
		}
		first = h.later[index]
	}
	result.windows = append(result.windows, window{newest.since(first.sums), now.Sub(first.at)})
	for _, length := range windowLengths {
		if earlier, found := at(h.later, now.Add(-length)); found && !earlier.at.Before(first.at) {
			result.windows = append(result.windows, window{newest.since(earlier.sums), now.Sub(earlier.at)})
		}
	}
	return result
}

// at returns the last mark up to a time.
func at(marks []mark, t time.Time) (mark, bool) {
	for _, m := range slices.Backward(marks) {
		if !m.at.After(t) {
			return m, true
		}
	}
	return mark{}, false
}
