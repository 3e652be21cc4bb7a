package grant

import "time"

// logClock computes a lower bound of the log's clock for one process, from the
// time of the last own record that the process has read and the time elapsed
// since. It never compares the clocks of two machines.
type logClock struct {
	// recordTime is the log time of the last own record, zero before the first.
	recordTime time.Time
	// observedAt is when the process read that record, by its own clock.
	observedAt time.Time
	// floor is the Floor of the last record that was sent.
	floor time.Time
	// isPending is whether the last record that was sent has not been read back
	// yet.
	isPending bool
}

// observe records that the process has read an own record.
func (l *logClock) observe(recordTime, now time.Time) {
	if recordTime.After(l.recordTime) {
		l.recordTime, l.observedAt = recordTime, now
	}
	l.isPending = false
}

// lowerBound returns a time that the log's clock has certainly reached.
func (l *logClock) lowerBound(now time.Time) time.Time {
	return l.recordTime.Add(now.Sub(l.observedAt))
}

// nextFloor returns the Floor of a new record. It does not rise while the
// previous record may still take effect, or when isFrozen is true.
func (l *logClock) nextFloor(now time.Time, isFrozen bool) time.Time {
	if !l.isPending && !isFrozen && !l.recordTime.IsZero() && l.lowerBound(now).After(l.floor) {
		l.floor = l.lowerBound(now)
	}
	l.isPending = true
	return l.floor
}

// isPastFloor reports whether the log's clock is at least d past the last
// floor. A process without a floor counts from its last record.
func (l *logClock) isPastFloor(d time.Duration, now time.Time) bool {
	floor := l.floor
	if floor.IsZero() {
		floor = l.recordTime
	}
	return !l.recordTime.IsZero() && !l.lowerBound(now).Before(floor.Add(d))
}
