package scaling

import "time"

// The last seconds are divided into periods. What is higher in each of them is no burst of a second, which
// falls into two of them at most.
const (
	recentPeriods = 3
	recentPeriod  = time.Second
	// periodTolerance is the time by which a period may be longer since samples are late.
	periodTolerance = time.Second
)

// recentDemand holds the counts of the last seconds, oldest first.
type recentDemand []countedDemand

// countedDemand is what has been counted up to a time.
type countedDemand struct {
	at     time.Time
	demand Demand
}

// add adds the counts at a time, and drops those that are no longer needed.
func (r *recentDemand) add(demand Demand, now time.Time) {
	*r = append(*r, countedDemand{at: now, demand: demand})
	oldest := now.Add(-recentPeriods * recentPeriod)
	for len(*r) > 1 && !(*r)[1].at.After(oldest) {
		*r = (*r)[1:]
	}
}

// periodDemand is the demand of one period.
type periodDemand struct {
	Demand
	seconds float64
}

// periods returns the demand of each period, or false before there are samples for all of them.
func (r recentDemand) periods(now time.Time) (periods [recentPeriods]periodDemand, isKnown bool) {
	end := len(r) - 1
	for i := range periods {
		begin := end - 1
		for begin >= 0 && r[end].at.Sub(r[begin].at) < recentPeriod {
			begin--
		}
		if begin < 0 || r[end].at.Sub(r[begin].at) > recentPeriod+periodTolerance {
			return periods, false
		}
		grown, isGrowth := r[end].demand.since(r[begin].demand)
		if !isGrowth {
			return periods, false
		}
		periods[i] = periodDemand{Demand: grown, seconds: r[end].at.Sub(r[begin].at).Seconds()}
		end = begin
	}
	return periods, true
}

// hasWork reports whether the work of the requests is known in all periods.
func hasWork(periods [recentPeriods]periodDemand) bool {
	var sum Demand
	for _, p := range periods {
		sum = sum.plus(p.Demand)
	}
	return sum.hasWork()
}

// lowest returns the lowest value of the periods.
func lowest(periods [recentPeriods]periodDemand, value func(periodDemand) float64) float64 {
	least := value(periods[0])
	for _, p := range periods[1:] {
		least = min(least, value(p))
	}
	return least
}

// millisecondsPerSecond converts work to seconds.
const millisecondsPerSecond = 1000

// refusedRate returns the requests, or the seconds of work, that were refused in a second by lack of
// capacity. A refused caller is told to come back once: of the refused requests, as many are taken for
// returns as follow if all callers do.
func (p periodDemand) refusedRate(byWork bool) float64 {
	if p.Arrived == 0 {
		return 0
	}
	refused := float64(p.Refused)
	if byWork {
		refused = float64(p.RefusedWork) / millisecondsPerSecond
	}
	share := min(float64(p.Refused)/float64(p.Arrived), 1)
	return refused / (1 + share) / p.seconds
}

// admittedWork returns the seconds of work that were admitted in a second.
func (p periodDemand) admittedWork() float64 {
	if p.RefusedWork >= p.ArrivedWork {
		return 0
	}
	return float64(p.ArrivedWork-p.RefusedWork) / millisecondsPerSecond / p.seconds
}
