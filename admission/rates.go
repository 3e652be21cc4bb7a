package admission

import (
	"math"
	"time"
)

// updateRates updates the averages over the time by which the figures have become newer. After a pause
// of this daemon or of the network, the figures of seconds arrive at once, which would pass for a
// surge.
func (s *service) updateRates(options Options) {
	covered := s.refreshedAt.Sub(s.ratedAt) - (s.room.Age - s.rated.Age)
	if covered < options.RefreshInterval/2 {
		return
	}
	arrived := difference(s.room.Arrived, s.rated.Arrived) / covered.Seconds()
	s.demand += (arrived - s.demand) * weightOf(covered, options.DemandTimeConstant)
	if s.room.Slots == s.rated.Slots && s.rated.Capacity > 0 {
		// What is learned of the runners changes the worth of the same occupied slots.
		s.occupied *= s.room.Capacity / s.rated.Capacity
	}
	if s.room.Slots == s.rated.Slots && s.room.Generation == s.rated.Generation {
		s.updateFlow(s.rated, covered, options)
	}
	s.rated, s.ratedAt = s.room, s.refreshedAt
}

// updateFlow updates the averages of what starts and ends between two rooms with the same runners and
// daemons. The requests of a runner that is gone would pass for ones that have ended, and those of a
// daemon that is heard again for the contrary.
func (s *service) updateFlow(before Room, passed time.Duration, options Options) {
	weight := weightOf(passed, options.FlowTimeConstant)
	started := difference(s.room.Started, before.Started)
	ended := started - (s.room.inFlight() - before.inFlight())
	s.starts += (started/passed.Seconds() - s.starts) * weight
	s.completions = max(s.completions+(ended/passed.Seconds()-s.completions)*weight, 0)
	s.occupied += (s.room.occupiedCapacity() - s.occupied) * weight
}

// completionRate returns the requests that the runners can end in a second, by Little's law from the time
// for which a request occupies a slot. While the load grows, fewer end than start: as long as slots are
// free, the higher rate counts.
func (s *service) completionRate() float64 {
	if s.occupied <= minOccupied {
		return 0
	}
	ended := s.completions
	if s.room.inFlight() < s.room.Slots {
		ended = max(ended, s.starts)
	}
	return s.room.Capacity * ended / s.occupied
}

// maxPredicted is the time for which the requests in flight are predicted at most.
const maxPredicted = 1500 * time.Millisecond

// predicted estimates the requests that are in flight now. The figures are older, and what was
// admitted since is the same at all daemons: without this, they would go on refusing after the queue
// has ended.
func (s *service) predicted() float64 {
	age := min(s.room.Age, maxPredicted)
	share := s.history.mean(s.refreshedAt, age)
	grown := (share*s.demand - s.completionRate()) * age.Seconds()
	if share == 1 {
		grown = max(grown, 0)
	}
	return max(s.room.inFlight()+grown, 0)
}

// difference returns how much a counter has grown.
func difference(now, before uint64) float64 {
	if now < before {
		return 0
	}
	return float64(now - before)
}

// weightOf returns the weight of a new value in a moving average.
func weightOf(passed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-passed.Seconds()/timeConstant.Seconds())
}
