package callerserver

import "time"

// idlePeriod is a time during which a connection awaits a request.
type idlePeriod struct {
	began time.Time
	// timeout is the idle timeout that was in force when the period began; zero means
	// none.
	timeout time.Duration
	// isExtended is true if the period began anew since the caller had not received the last
	// answer.
	isExtended bool
	// ended is when the server closed the connection, or zero.
	ended time.Time
	// limit is the idle timeout that the server went by when it closed the connection.
	limit time.Duration
}

// idleClass says how long a connection has been idle, compared with the idle timeout that
// was in force when that began.
type idleClass string

const (
	// reusable means that callers may still send a request on the connection.
	reusable idleClass = "Reusable"
	// nearTimeout means that callers should use the connection no more.
	nearTimeout idleClass = "NearTimeout"
	// overTimeout means that the connection has been idle for the timeout or longer.
	overTimeout idleClass = "OverTimeout"
	// withoutTimeout means that there was no timeout.
	withoutTimeout idleClass = "WithoutTimeout"
)

// Callers use a connection again until it has been idle for reusableParts of timeoutParts of
// the idle timeout.
const (
	reusableParts = 4
	timeoutParts  = 5
)

// endIdle records that the server closes the idle connection.
func (c *connection) endIdle() {
	c.idle.ended = c.server.common.Clock.Now()
	c.idle.limit, _ = c.server.limits.longest(c.idle.ended, c.server.options.Timeouts().Idle)
}

// length returns how long the connection was idle.
func (p idlePeriod) length() time.Duration { return p.ended.Sub(p.began) }

// class returns the class of a period that has ended.
func (p idlePeriod) class() idleClass {
	length := p.length()
	switch {
	case p.timeout <= 0:
		return withoutTimeout
	case length <= p.timeout/timeoutParts*reusableParts:
		return reusable
	case length < p.timeout:
		return nearTimeout
	default:
		return overTimeout
	}
}
