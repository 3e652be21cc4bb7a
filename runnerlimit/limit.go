package runnerlimit

// Limit is what is known of the limit of one incarnation of a runner. The zero value is a
// runner that has named none.
type Limit struct {
	statement Statement
}

// Observe applies a statement. It reports whether that changed the limit in force.
func (l *Limit) Observe(s Statement) bool {
	if l.statement.Received.IsZero() && s.PerSecond == 0 || !s.supersedes(l.statement) {
		return false
	}
	before := l.statement.PerSecond
	l.statement = s
	return s.PerSecond != before
}

// Statement returns the statement in force. Its PerSecond is zero if there is no limit.
func (l *Limit) Statement() Statement { return l.statement }

// IsInForce reports whether the runner has named a limit.
func (l *Limit) IsInForce() bool { return l.statement.PerSecond > 0 }
