package balance

import "time"

// isAllowed reports whether a request's FreeOnly and Only allow the runner. The mutex must
// be held.
func (b *Balancer) isAllowed(r *runner, request Request, now time.Time) bool {
	if request.Only != "" && request.Only != r.entry.ID {
		return false
	}
	return !request.FreeOnly || b.isFree(r, now)
}

// isFree reports whether a request would probably be served by the runner at once: the
// runner appears to be reachable and has a free slot. The mutex must be held.
func (b *Balancer) isFree(r *runner, now time.Time) bool {
	if now.Before(r.downUntil) || b.isZoneUnreachable(r, now) {
		return false
	}
	running, _ := b.total(r, now)
	return r.entry.Slots <= 0 || running < r.entry.Slots
}
