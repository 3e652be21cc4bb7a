// Package runnerlimit keeps the limits that runners name in their answers: the requests a
// second that a runner takes from all daemons together. It merges what different daemons
// have heard, and says which part of a limit this daemon may use. It performs no I/O, and
// its types are not safe for concurrent use.
package runnerlimit

import "time"

// Statement is what one answer has said about the limit of its runner.
type Statement struct {
	// PerSecond is the number of requests a second, or zero if the answer named no limit.
	PerSecond float64
	// Sent is when the request of the answer was sent, and Received when the head of the
	// answer arrived. The runner made the statement in between.
	Sent, Received time.Time
	// ObservedBy is the name of the daemon that received the answer.
	ObservedBy string
}

// follows reports whether the runner certainly made the statement after another one.
func (s Statement) follows(other Statement) bool { return s.Sent.After(other.Received) }

// isStricter reports whether the statement allows fewer requests than another one.
func (s Statement) isStricter(other Statement) bool {
	return s.PerSecond > 0 && (other.PerSecond == 0 || s.PerSecond < other.PerSecond)
}

// supersedes reports whether the statement takes the place of another one. Of two that can't
// be ordered in time, the stricter one is in force.
func (s Statement) supersedes(other Statement) bool {
	if s.follows(other) {
		return true
	}
	if other.follows(s) {
		return false
	}
	return s.isStricter(other) || s.PerSecond == other.PerSecond && s.Received.After(other.Received)
}
