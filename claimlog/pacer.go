package claimlog

import "time"

// minThrottledInterval is the smallest interval after a throttled append.
const minThrottledInterval = time.Millisecond

// appendPacer controls the interval between two appends. It doubles the
// interval when the log throttles an append and shortens it slowly while the
// log accepts them, so that all daemons together converge on the rate that the
// log allows. It is used by the appender only.
type appendPacer struct {
	// current is between shortest and longest.
	current  time.Duration
	shortest time.Duration
	longest  time.Duration
	// last is when the last append began.
	last time.Time
}

func newAppendPacer(shortest, longest time.Duration) *appendPacer {
	return &appendPacer{current: shortest, shortest: shortest, longest: longest}
}

// recordAppend records that an append begins.
func (p *appendPacer) recordAppend(now time.Time) { p.last = now }

// wait returns how long the next append has to wait; it can be negative.
func (p *appendPacer) wait(now time.Time) time.Duration { return p.current - now.Sub(p.last) }

func (p *appendPacer) slowDown() { p.current = min(max(2*p.current, minThrottledInterval), p.longest) }

func (p *appendPacer) speedUp() { p.current = max(p.current-p.current/8, p.shortest) }
