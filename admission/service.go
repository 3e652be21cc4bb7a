package admission

import (
	"math"
	"time"
)

// service is the state of one service at one daemon.
type service struct {
	room Room
	// refreshedAt is when room was read; startedAt when it was first read.
	refreshedAt, startedAt time.Time
	// rated is the room up to which the rates go, and ratedAt when it was read.
	rated   Room
	ratedAt time.Time
	// demand is the moving average of the requests that arrive in a second. starts, completions and occupied
	// are slower ones of the requests that start and that end in a second, and of the capacity of the
	// occupied slots.
	demand, starts, completions, occupied float64
	// share is the fraction of the requests that is admitted, and shares that of each class.
	share  float64
	shares byClass
	// isOrdered is true if the runners admit by urgency.
	isOrdered bool
	// maxPerSlot is that of the last request.
	maxPerSlot float64
	// history holds the recent values of share.
	history history
	// mix counts the recent requests of each class.
	mix byClass
	// slack is the moving average of the time that requests have beyond their expected response time.
	slack     float64
	times     responseTimes
	customers *customers
}

func newService(options Options, now time.Time) *service {
	return &service{
		share: 1, shares: uniform(1), slack: options.MinWait.Seconds() / options.WaitShare,
		times: newResponseTimes(), customers: newCustomers(options, now),
	}
}

// maxEarlier is the time by which a request may have read the clock before the latest one. Requests read it
// before they reach the controller. Beyond it, the clock has gone back.
const maxEarlier = time.Second

// isDue reports whether the room is to be read again.
func (s *service) isDue(now time.Time, interval time.Duration) bool {
	passed := now.Sub(s.refreshedAt)
	return s.startedAt.IsZero() || passed >= interval || passed < -maxEarlier
}

// refresh updates the rates and the admitted shares.
func (s *service) refresh(room Room, options Options, now time.Time) {
	passed := now.Sub(s.refreshedAt)
	s.room, s.refreshedAt = room, now
	if s.startedAt.IsZero() || passed > maxGap || passed < 0 {
		s.restart(now)
		return
	}
	s.updateRates(options)
	keep := 1 - weightOf(passed, options.MixTimeConstant)
	for class := range s.mix {
		s.mix[class] *= keep
	}
	s.history.add(s.share, now)
	s.follow(passed, options)
}

// follow brings the admitted shares nearer to those that should be.
func (s *service) follow(passed time.Duration, options Options) {
	if !s.knowsRates(options) {
		s.shares = uniform(s.shareWithoutRates())
	} else {
		weight := weightOf(passed, options.ShareTimeConstant)
		for class, target := range s.targets(options) {
			s.shares[class] += (target - s.shares[class]) * weight
		}
	}
	s.share = s.meanShare()
}

// The demand in requests a second, and the capacity of the occupied slots, below which the rates are not
// known: ratios to smaller ones are not meaningful and may overflow.
const (
	minDemand   = 1e-6
	minOccupied = 1e-3
)

// knowsRates reports whether the rates have been observed for long enough.
func (s *service) knowsRates(options Options) bool {
	return s.refreshedAt.Sub(s.startedAt) >= options.WarmUp && s.demand > minDemand && s.occupied > minOccupied
}

// shareWithoutRates returns the share that is admitted while the rates are not known.
func (s *service) shareWithoutRates() float64 {
	if most := s.maxPerSlot * s.room.Slots; most > 0 && s.room.inFlight() >= most {
		return 0
	}
	return 1
}

// meanShare returns the share of all requests that is admitted.
func (s *service) meanShare() float64 {
	total, admitted := s.mix.sum(), 0.0
	if total <= 0 {
		return s.shares[DefaultUrgency]
	}
	for class, part := range s.mix {
		admitted += part * s.shares[class]
	}
	return admitted / total
}

// maxGap is the time without requests after which the averages begin anew.
const maxGap = 30 * time.Second

// restart begins the averages anew.
func (s *service) restart(now time.Time) {
	s.startedAt, s.share, s.history = now, 1, history{}
	s.rated, s.ratedAt = s.room, now
	s.demand, s.starts, s.completions, s.occupied = 0, 0, 0, 0
	s.shares = uniform(1)
}

// targets returns the share of each class that should be admitted for the number of requests in flight
// to reach its set point within the horizon.
func (s *service) targets(options Options) byClass {
	if s.room.Slots <= 0 || s.room.isCalm() {
		return uniform(1)
	}
	rate, inFlight := s.completionRate(), s.predicted()
	free := s.room.Slots + s.allowedQueue(rate, options) - inFlight
	queued := max(inFlight-s.room.Slots, 0)
	most := s.mostAdmitted(rate, inFlight)
	if inFlight < s.room.Slots {
		rate *= 1 + options.Headroom
	}
	perRequest := s.mix.sum() / s.demand
	var budgets byClass
	for class := range budgets {
		passed := queued - s.queuedAhead(class, queued, rate)
		budgets[class] = min(rate+(free+passed)/options.Horizon.Seconds(), most) * perRequest
	}
	return divide(budgets, options.MinShare, s.mix)
}

// The queue of requests that are at least as urgent as a class counts for little while these
// need less than lightLoad of the capacity, and in full from heavyLoad on.
const (
	lightLoad = 0.8
	heavyLoad = 1.1
)

// queuedAhead estimates how many of the requests that wait are served before one of a class.
func (s *service) queuedAhead(class int, queued, rate float64) float64 {
	total := s.mix.sum()
	if !s.isOrdered || rate <= 0 || total <= 0 {
		return queued
	}
	part := 0.0
	for _, other := range s.mix[:class+1] {
		part += other
	}
	load := part / total * s.demand / rate
	heavy := min(max((load-lightLoad)/(heavyLoad-lightLoad), 0), 1)
	return queued * max(heavy*s.shareAhead(class), 0)
}

// mostAdmitted bounds the requests that are admitted in a second: less than half of the capacity while the
// requests in flight exceed the number that is tolerated, none at twice that number, and no bound
// below it.
func (s *service) mostAdmitted(rate, inFlight float64) float64 {
	tolerated := s.maxPerSlot * s.room.Slots
	if tolerated <= 0 || inFlight < tolerated {
		// Zero times infinity would not be a number.
		return math.Inf(1)
	}
	return rate * max(1-inFlight/(2*tolerated), 0)
}

// chanceDeviations is the number of standard deviations by which the requests that end within the horizon
// vary by chance, and that may wait. In a service of few requests these exceed the allowed wait.
const chanceDeviations = 2

// allowedQueue returns how many requests may wait.
func (s *service) allowedQueue(rate float64, options Options) float64 {
	byChance := chanceDeviations * math.Sqrt(rate*options.Horizon.Seconds())
	return max(rate*s.allowedWait(options).Seconds(), byChance)
}

// allowedWait returns how long requests may wait for a slot.
func (s *service) allowedWait(options Options) time.Duration {
	wait := time.Duration(options.WaitShare * s.slack * float64(time.Second))
	return min(max(wait, options.MinWait), options.MaxWait)
}

// isContended reports whether the slots are about to be exhausted.
func (s *service) isContended(options Options) bool {
	return s.room.Slots > 0 && !s.room.isCalm() && s.room.inFlight() >= options.ContendedOccupancy*s.room.Slots
}

// wait estimates how long a request of a class waits for a slot.
func (s *service) wait(class int) time.Duration {
	rate := s.completionRate()
	queued := max(s.predicted()-s.room.Slots, 0)
	if rate <= 0 || queued <= 0 {
		return 0
	}
	return seconds(s.queuedAhead(class, queued, rate) / rate)
}

// shareAhead returns the part of the admitted requests that are at least as urgent as a class.
func (s *service) shareAhead(class int) float64 {
	ahead, total := 0.0, 0.0
	for other, part := range s.mix {
		admitted := part * s.shares[other]
		total += admitted
		if other <= class {
			ahead += admitted
		}
	}
	if total <= 0 {
		return 1
	}
	return ahead / total
}

// missesDeadline reports whether a request would be answered after its deadline since it has to wait for a
// slot.
func (s *service) missesDeadline(class int, request Request, options Options) bool {
	if !s.isContended(options) || !s.knowsRates(options) {
		return false
	}
	wait := s.wait(class)
	return wait > 0 && wait+s.expected(request) > request.Left
}

// expected returns the expected time to the response.
func (s *service) expected(request Request) time.Duration { return s.times.expected(request) }

// slackWeight is the weight of one request in the average of the slack.
const slackWeight = 0.02

// count counts a request.
func (s *service) count(class int, request Request) {
	s.mix[class]++
	s.isOrdered, s.maxPerSlot = request.IsOrdered, request.MaxPerSlot
	if request.Target > 0 {
		s.slack += (s.timeToSpare(request).Seconds() - s.slack) * slackWeight
	}
}

// timeToSpare returns the time that a request has beyond its expected response time to be answered
// within its target latency.
func (s *service) timeToSpare(request Request) time.Duration {
	return max(request.Target-s.expected(request), 0)
}

// maxSeconds bounds an estimated wait, so that it fits a time.Duration.
const maxSeconds = 3600

func seconds(value float64) time.Duration {
	return time.Duration(min(value, maxSeconds) * float64(time.Second))
}
