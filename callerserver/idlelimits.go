package callerserver

import (
	"slices"
	"sync"
	"time"
)

// idleLimits holds the idle timeouts that callers may go by: the one in force, and those
// that it replaced a short time ago.
type idleLimits struct {
	// learnWithin is how long callers may go by a timeout that was replaced.
	learnWithin time.Duration

	mutex sync.Mutex
	// current is the timeout in force, or zero if there is none; guarded by mutex, as the
	// fields below.
	current time.Duration
	// isKnown is true once current is set.
	isKnown bool
	// replaced holds the timeouts that callers may still go by, without those for which a
	// later one is as long. So the longest comes first.
	replaced []replacedLimit
}

// replacedLimit is an idle timeout that is no longer in force.
type replacedLimit struct {
	timeout time.Duration
	// until is when the last caller learns that the timeout was replaced.
	until time.Time
}

// longest returns the longest idle timeout that callers may go by, of which zero means
// none, and how long this stays so. The latter is zero if it stays so until a change.
func (l *idleLimits) longest(now time.Time, current time.Duration) (timeout, lasts time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.update(now, current)
	if len(l.replaced) == 0 || !isLonger(l.replaced[0].timeout, current) {
		return current, 0
	}
	return l.replaced[0].timeout, l.replaced[0].until.Sub(now)
}

// update takes over the timeout in force.
func (l *idleLimits) update(now time.Time, current time.Duration) {
	if l.isKnown && current != l.current {
		previous := l.current
		l.replaced = slices.DeleteFunc(l.replaced, func(r replacedLimit) bool { return !isLonger(r.timeout, previous) })
		l.replaced = append(l.replaced, replacedLimit{timeout: previous, until: now.Add(l.learnWithin)})
	}
	l.current = current
	l.isKnown = true
	l.replaced = slices.DeleteFunc(l.replaced, func(r replacedLimit) bool { return !now.Before(r.until) })
}

// isLonger reports whether x is a longer timeout than y, where zero means none.
func isLonger(x, y time.Duration) bool {
	if y <= 0 {
		return false
	}
	return x <= 0 || x > y
}
