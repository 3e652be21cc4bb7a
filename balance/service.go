package balance

import "time"

// service is what the balancer knows of a service.
type service struct {
	// room holds the last sums of Room.
	room Room
	// unloadedTime is the time that a request takes when it does not wait: an average that follows
	// shorter times sooner than longer ones. It is zero before the first request.
	unloadedTime time.Duration
}

// serviceState returns the state of a service. The mutex must be held.
func (b *Balancer) serviceState(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{}
		b.services[name] = s
	}
	return s
}

// shorterTimes and longerTimes are the numbers of requests over which unloadedTime is averaged.
const (
	shorterTimes = 16
	longerTimes  = 128
)

// observeTime records the time that a request has taken.
func (s *service) observeTime(took time.Duration) {
	if s.unloadedTime == 0 {
		s.unloadedTime = took
	}
	if took < s.unloadedTime {
		s.unloadedTime += (took - s.unloadedTime) / shorterTimes
	} else {
		s.unloadedTime += (took - s.unloadedTime) / longerTimes
	}
}
