package callerserver

import "time"

// rest is a time during which a connection awaits a request.
type rest struct {
	began time.Time
	// timeout is the idle timeout that was in force when the rest began; zero means
	// none.
	timeout time.Duration
	// isExtended is true if the rest began anew since the caller had not received the last
	// answer.
	isExtended bool
	// ended is when the server closed the connection, or zero.
	ended time.Time
	// limit is the idle timeout that the server went by when it closed the connection.
	limit time.Duration
}

// restClass says how long a connection has rested, compared with the idle timeout that
// was in force when it began to rest.
type restClass string

const (
	// reusable means that callers may still send a request on the connection.
	reusable restClass = "Reusable"
	// nearTimeout means that callers should use the connection no more.
	nearTimeout restClass = "NearTimeout"
	// overTimeout means that the connection has rested for the timeout or longer.
	overTimeout restClass = "OverTimeout"
	// withoutTimeout means that there was no timeout.
	withoutTimeout restClass = "WithoutTimeout"
)

// Callers use a connection again until it has rested for reusableParts of timeoutParts of
// the idle timeout.
const (
	reusableParts = 4
	timeoutParts  = 5
)

// endRest records that the server closes the connection at rest.
func (c *connection) endRest() {
	c.rest.ended = c.server.common.Clock.Now()
	c.rest.limit, _ = c.server.limits.longest(c.rest.ended, c.server.options.Timeouts().Idle)
}

// length returns how long the connection rested.
func (r rest) length() time.Duration { return r.ended.Sub(r.began) }

// class returns the class of a rest that has ended.
func (r rest) class() restClass {
	rested := r.length()
	switch {
	case r.timeout <= 0:
		return withoutTimeout
	case rested <= r.timeout/timeoutParts*reusableParts:
		return reusable
	case rested < r.timeout:
		return nearTimeout
	default:
		return overTimeout
	}
}
