package balance

import "time"

// Room is the load and the capacity of a service's available runners over all daemons. The loads of
// other daemons are as old as their last digests.
type Room struct {
	// Runners counts the runners that may get new requests and appear to be reachable, including those
	// that want none for a while: their pauses are short. LimitedRunners
	// are those of them with a limit, which the other fields leave out, as they do those without slots.
	Runners, LimitedRunners int
	// Slots is the sum of their slots.
	Slots float64
	// Running counts the requests that occupy slots, and Waiting those beyond the slots of their
	// runners.
	Running, Waiting float64
	// PrefillTokens counts the prompt tokens still to be prefilled.
	PrefillTokens int
	// Capacity is the number of requests that the runners carry as well as typical runners carry their
	// slots. It equals Slots while nothing is learned.
	Capacity float64
	// Generation changes whenever the sums begin or cease to include the loads of a process of another
	// daemon. Running and Waiting then change by requests that have neither started nor ended.
	Generation uint64
	// ComputedAt is when the sums were made, at most roomPeriod ago.
	ComputedAt time.Time
}

// roomPeriod is how long the sums of a service are used.
const roomPeriod = 20 * time.Millisecond

// Room returns the room of a service.
func (b *Balancer) Room(service string, now time.Time) Room {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.serviceState(service)
	if age := now.Sub(s.room.ComputedAt); s.room.ComputedAt.IsZero() || age < 0 || age >= roomPeriod {
		s.room = b.computeRoom(service, now)
	}
	return s.room
}

// computeRoom sums up the runners of a service. The mutex must be held.
func (b *Balancer) computeRoom(service string, now time.Time) Room {
	b.learner.Refresh(now)
	b.peers.dropExpired(now)
	room := Room{ComputedAt: now, Generation: b.peers.generation}
	for _, r := range b.ordered {
		if r.entry.Service != service || !r.isAvailable() || now.Before(r.downUntil) || b.isZoneUnreachable(r, now) {
			continue
		}
		room.Runners++
		if r.signals.limit.IsInForce() {
			room.LimitedRunners++
			continue
		}
		if r.entry.Slots > 0 {
			b.addRoom(&room, r, now)
		}
	}
	return room
}

// addRoom adds a runner without a limit to the sums. The mutex must be held.
func (b *Balancer) addRoom(room *Room, r *runner, now time.Time) {
	running, prefill := b.total(r, now)
	requests, slots := float64(running), float64(r.entry.Slots)
	room.Slots += slots
	room.Running += min(requests, slots)
	room.Waiting += r.waiting(requests, slots, now)
	room.PrefillTokens += prefill
	room.Capacity += r.learned.Estimate().Carries(r.entry.Slots)
}

// waitingLifetime is how long a runner's own figure of its waiting requests holds.
const waitingLifetime = 400 * time.Millisecond

// waiting returns the number of requests that wait at the runner: its own figure while that is recent,
// otherwise those beyond its slots. All requests at a runner are those of daemons, so that a false figure
// counts for no more requests than the daemons have there.
func (r *runner) waiting(requests, slots float64, now time.Time) float64 {
	if r.load.IsKnown() && now.Sub(r.loadAt) < waitingLifetime {
		return min(float64(r.load.Waiting), requests)
	}
	return max(requests-slots, 0)
}
