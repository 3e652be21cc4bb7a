package grant

import "time"

// logTime tells a process a time that the log's clock has passed for sure,
// from the last own record that it saw and the time that has gone by since.
// It compares no clocks of two machines.
type logTime struct {
	// at is the log time of the last own record, zero before the first.
	at time.Time
	// seen is when the process saw that record, by its own clock.
	seen time.Time
	// floor is the Floor of the last record that was sent.
	floor time.Time
	// isWaiting says that the last record that was sent was not seen yet.
	isWaiting bool
}

func (l *logTime) see(at, now time.Time) {
	if at.After(l.at) {
		l.at, l.seen = at, now
	}
	l.isWaiting = false
}

// passed returns a time that the log's clock has passed.
func (l *logTime) passed(now time.Time) time.Time { return l.at.Add(now.Sub(l.seen)) }

// send returns the Floor of a new record. It is that of the record before
// when that one may still take effect, or when isFrozen is true.
func (l *logTime) send(now time.Time, isFrozen bool) time.Time {
	if !l.isWaiting && !isFrozen && !l.at.IsZero() && l.passed(now).After(l.floor) {
		l.floor = l.passed(now)
	}
	l.isWaiting = true
	return l.floor
}

// isPast reports whether the log's clock has passed the last floor by d. A
// process without a floor counts from its last record.
func (l *logTime) isPast(d time.Duration, now time.Time) bool {
	floor := l.floor
	if floor.IsZero() {
		floor = l.at
	}
	return !l.at.IsZero() && !l.passed(now).Before(floor.Add(d))
}
