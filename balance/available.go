package balance

import "time"

// isAllowed reports whether a request's AvailableOnly and Only allow the runner. The mutex must
// be held.
func (b *Balancer) isAllowed(r *runner, request Request, now time.Time) bool {
	if request.Only != "" && request.Only != r.entry.ID {
		return false
	}
	return !request.AvailableOnly || b.hasRoom(r, now)
}

// fullRequestsPerSlot is the number of running and queued requests per slot with which a
// runner counts as full.
const fullRequestsPerSlot = 2

// hasRoom reports whether the runner appears to be reachable and probably accepts a
// request. The mutex must be held.
func (b *Balancer) hasRoom(r *runner, now time.Time) bool {
	if now.Before(r.downUntil) || b.isZoneUnreachable(r, now) {
		return false
	}
	running, _ := b.total(r, now)
	return r.entry.Slots <= 0 || running < fullRequestsPerSlot*r.entry.Slots
}

// isHalfFull reports whether the requests at a runner, of all daemons, need at least half of its
// slots. The mutex must be held.
func (b *Balancer) isHalfFull(r *runner, now time.Time) bool {
	running, _ := b.total(r, now)
	return r.entry.Slots > 0 && 2*running >= r.entry.Slots
}
