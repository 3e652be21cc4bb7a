package runnerlimit

import "time"

// Limit is the limit of one incarnation of a runner, with this daemon's part of it. The zero
// value is a runner that has named none.
type Limit struct {
	statement Statement
	// changedAt is when PerSecond of the statement last changed.
	changedAt time.Time
	// confirmedAt is when another daemon last told that PerSecond is in force.
	confirmedAt time.Time
	// bucket holds what this daemon may send; it is empty when the limit begins.
	bucket bucket
}

// Observe applies a statement that the daemon named self has heard or was told. It reports
// whether that changed the limit in force.
func (l *Limit) Observe(s Statement, self string, now time.Time) bool {
	if s.ObservedBy != self && s.PerSecond == l.statement.PerSecond {
		l.confirmedAt = now
	}
	if l.statement.Received.IsZero() && s.PerSecond == 0 || !s.supersedes(l.statement) {
		return false
	}
	before := l.statement.PerSecond
	l.statement = s
	if s.PerSecond == before {
		return false
	}
	if before == 0 {
		l.bucket = bucket{refilledAt: now}
	}
	l.changedAt, l.bucket.sharedAt = now, time.Time{}
	return true
}

// Statement returns the statement in force. Its PerSecond is zero if there is no limit.
func (l *Limit) Statement() Statement { return l.statement }

// IsInForce reports whether the runner has named a limit.
func (l *Limit) IsInForce() bool { return l.statement.PerSecond > 0 }

const (
	// reportDuration is how long after it was received a statement is reported to the other
	// daemons.
	reportDuration = 3 * time.Second
	// confirmationPeriod is how long a limit that does not change is not reported again after
	// another daemon has reported the same.
	confirmationPeriod = time.Second
)

// ShouldReport reports whether the daemon named self reports the statement to the others.
func (l *Limit) ShouldReport(self string, now time.Time) bool {
	s := l.statement
	if s.ObservedBy != self || now.Sub(s.Received) > reportDuration {
		return false
	}
	return now.Sub(l.changedAt) <= reportDuration || now.Sub(l.confirmedAt) > confirmationPeriod
}

// sharePeriod is how long a computed share is used.
const sharePeriod = 100 * time.Millisecond

// Refresh brings this daemon's part of the limit up to date. share computes it.
func (l *Limit) Refresh(share func(perSecond float64) Share, now time.Time) {
	if !l.IsInForce() {
		return
	}
	l.bucket.refill(now)
	if l.bucket.sharedAt.IsZero() || now.Sub(l.bucket.sharedAt) >= sharePeriod {
		l.bucket.setShare(share(l.statement.PerSecond), now)
	}
}

// Share returns this daemon's part as of the last Refresh.
func (l *Limit) Share() Share { return l.bucket.share }

// MayTake reports whether a request may be sent, as of the last Refresh.
func (l *Limit) MayTake() bool { return !l.IsInForce() || l.bucket.level >= 1 }

// MayOverdraw reports whether a request that must not wait may be sent, at the cost of the next
// one.
func (l *Limit) MayOverdraw() bool {
	return !l.IsInForce() || l.bucket.share.PerSecond > 0 && l.bucket.level >= 0
}

// Take counts a request that is sent.
func (l *Limit) Take() { l.bucket.level-- }

// Return takes back a request of which nothing was sent.
func (l *Limit) Return() { l.bucket.level = min(l.bucket.level+1, l.bucket.capacity()) }
