package ledger

import "time"

// minPace is the first interval of a pace without a minimum.
const minPace = time.Millisecond

// pace is the interval between two appends. It doubles when the log refuses
// an append for its rate and shrinks slowly while the log takes them, so that
// all daemons together find the rate that the log allows. It belongs to the
// appender.
type pace struct {
	// current is between shortest and longest.
	current  time.Duration
	shortest time.Duration
	longest  time.Duration
	// last is when the last append began.
	last time.Time
}

func newPace(shortest, longest time.Duration) *pace {
	return &pace{current: shortest, shortest: shortest, longest: longest}
}

// begin notes an append.
func (p *pace) begin(now time.Time) { p.last = now }

// wait returns how long the next append has to wait; it can be negative.
func (p *pace) wait(now time.Time) time.Duration { return p.current - now.Sub(p.last) }

func (p *pace) slower() { p.current = min(max(2*p.current, minPace), p.longest) }

func (p *pace) faster() { p.current = max(p.current-p.current/8, p.shortest) }
