package rollout

import (
	"slices"
	"time"
)

// Bound returns which versions an attempt may use that must go to a certain one, such as one that
// resumes or moves a stream. In a trial that may be the target.
func (c *Controller) Bound(service string, now time.Time) Assignment {
	s := c.service(service)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.bound(now)
}

// MayWrite reports whether the version of the attempt may still get requests: the daemon may have
// stopped or entered another phase since the runner was chosen. It is to be asked just before the
// attempt is written. From Start on, the attempt is in flight in the reports, so that Closing is not
// reported as closed beside an attempt that may still be written.
func (a *Attempt) MayWrite(now time.Time) bool {
	if a == nil {
		return true
	}
	a.service.mutex.Lock()
	defer a.service.mutex.Unlock()
	return a.service.bound(now).Allows(a.version)
}

// Allows reports whether a version may be used. If ExceptIfOthers is true, the caller has to look for
// others.
func (a Assignment) Allows(version string) bool {
	switch {
	case a.Refused, a.Exclusive && version != a.Only:
		return false
	default:
		return a.ExceptIfOthers || !slices.Contains(a.Except, version)
	}
}

// bound returns which versions may be used by an attempt that must go to a certain one. The mutex must
// be held.
func (s *service) bound(now time.Time) Assignment {
	if s.run == nil {
		return Assignment{Except: s.excluded}
	}
	phase := s.run.effective(now)
	switch {
	case s.run.isRefusing(now):
		return Assignment{Refused: true}
	case phase == Trial:
		return Assignment{Except: s.excluded}
	case phase != Switch && s.run.prefersTarget(phase, now):
		return Assignment{Only: s.run.order.Target, Exclusive: true, Except: s.excluded}
	default:
		return s.unassigned(phase, now)
	}
}

// RefusalLeft returns for how long requests of any service are still refused until the holder of the duties
// decides; zero if none are.
func (c *Controller) RefusalLeft(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	left := time.Duration(0)
	for _, known := range c.rolls {
		left = max(left, known.newest().refusesUntil(c.options).Sub(now))
	}
	return left
}

// Knows reports whether an order has been learned, by its content and its offset.
func (c *Controller) Knows(order Order) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.rolls[order.Service].find(order) != nil
}

// Newest returns the state of the newest order of each service, also if that is Unknown. The orders
// have the earliest times that are known, since the store is to keep them.
func (c *Controller) Newest() []State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	states := make([]State, 0, len(c.rolls))
	for _, known := range c.rolls {
		states = append(states, known.newest().state)
	}
	return states
}
