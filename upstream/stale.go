package upstream

import (
	"errors"
	"io"
	"syscall"
	"time"
)

// use is the use of a connection for one exchange.
type use struct {
	// began is when the exchange began.
	began time.Time
	// isReused is true if the connection had carried an earlier request, and idle is
	// how long it had been idle.
	isReused bool
	idle     time.Duration
	// isAnswered is true once a byte of the answer was read.
	isAnswered bool
}

func (c *connection) beginUse(now time.Time) {
	c.use = use{began: now}
	if !c.idleSince.IsZero() {
		c.use.isReused, c.use.idle = true, now.Sub(c.idleSince)
	}
}

// invalidAnswer returns the error for the failure of an exchange after a byte was written.
func (c *connection) invalidAnswer(cause error) *InvalidAnswerError {
	return &InvalidAnswerError{Address: c.address, Reused: c.use.isReused, Idle: c.use.idle, Cause: cause}
}

// maxResetDelay is how long the reset of a stale connection takes at most after a request
// was sent. A later one is taken for a failure of the runner.
const maxResetDelay = 500 * time.Millisecond

// isResetUnanswered reports whether a reused connection ended at now as a stale one does.
func (u use) isResetUnanswered(cause error, now time.Time) bool {
	return u.isReused && !u.isAnswered && IsClosedByPeer(cause) && now.Sub(u.began) <= maxResetDelay
}

// IsClosedByPeer reports whether an error means that the peer reset or closed the
// connection.
func IsClosedByPeer(err error) bool {
	for _, closed := range []error{syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}

// IsRefused reports whether an error means that the peer refused the connection.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// recordFailure learns from the failure of an exchange. It marks the error if the
// connection was probably stale.
func (p *Pool) recordFailure(c *connection, request Request, err error) {
	var invalid *InvalidAnswerError
	now := p.common.Clock.Now()
	if !errors.As(err, &invalid) || !c.use.isResetUnanswered(invalid.Cause, now) {
		return
	}
	if !p.idleLimits.RecordReset(c.address, c.use.idle, now) {
		return
	}
	invalid.Stale = true
	p.common.Count("Upstream.StaleConnections."+toleranceOf(request), 1)
	p.logIdleLimit(now)
}

// toleranceOf names in a counter whether a request tolerates a reset.
func toleranceOf(request Request) string {
	if request.ToleratesReset {
		return "Tolerated"
	}
	return "NotTolerated"
}

// recordAnswer learns from an answer.
func (p *Pool) recordAnswer(c *connection) {
	if c.use.isReused {
		p.idleLimits.RecordReuse(c.address, c.use.idle, c.use.began)
	}
}

// mayBeStale reports whether an idle connection has been idle for too long to be used for
// a request, judging by recent resets.
func (p *Pool) mayBeStale(c *connection, request Request, now time.Time) bool {
	limit, found := p.idleLimits.Limit(c.address, request.ToleratesReset, now)
	if !found || now.Sub(c.idleSince) <= limit {
		return false
	}
	p.common.Count("Upstream.IdleConnectionsReplaced", 1)
	return true
}

// IdleLimit returns how long connections may currently be idle to be reused for any
// request, or zero if there is no limit beside the timeout.
func (p *Pool) IdleLimit() time.Duration {
	limit, _ := p.idleLimits.Lowest(p.common.Clock.Now())
	return limit
}

// logIdleLimit logs a change of IdleLimit.
func (p *Pool) logIdleLimit(now time.Time) {
	limit, _ := p.idleLimits.Lowest(now)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if limit == p.loggedIdleLimit {
		return
	}
	p.loggedIdleLimit = limit
	p.common.Log.Info("IdleLimitChanged", "LimitMilliseconds", limit.Milliseconds())
}
