package quota

import (
	"math"
	"time"
)

// In a large group a daemon knows of its peers' grants about a second later. If a customer
// surges, all of them together would grant several times what is left in that time. Each
// daemon therefore grants at most its share of what is left, and of a part of the platform's
// tolerance, before its peers know of that.
const (
	// ratioShare is the part of the platform's tolerance that grows with the quota which is
	// used for grants that are not known yet, beside slackOverdraft.
	ratioShare = 0.3
	// startDeficit is the part of the tolerance that grows with the quota which earlier
	// processes are assumed to have used.
	startDeficit = 0.5
	// deviations is the number of standard deviations by which the requests at one daemon may
	// exceed its share, if they arrive independently of each other (Poisson).
	deviations = 3
	// minUnreported is the number of requests of the mean size that a daemon may always
	// grant while units are left: a share of a small quota may be less than one request.
	minUnreported = 3
	// meanWeight is the weight of the newest request in the mean size.
	meanWeight = 0.1
	// reportMargin is the time that a report takes to arrive and to be applied.
	reportMargin = 100 * time.Millisecond
	// reportTimeCheckInterval is the time between two updates of the mean time between
	// reports, which go through all peers.
	reportTimeCheckInterval = 100 * time.Millisecond
)

// unreported estimates the grants that the peers do not know of yet: a grant counts
// less and less until the mean report has arrived.
type unreported struct {
	// units is the estimate as of updated.
	units   float64
	updated time.Time
	// mean is a moving average of the units of a grant.
	mean float64
}

// decay updates the estimate.
func (u *unreported) decay(reportTime time.Duration, now time.Time) {
	u.units *= math.Exp(-max(now.Sub(u.updated), 0).Seconds() / reportTime.Seconds())
	u.updated = now
}

func (u *unreported) add(units float64) {
	u.units += units
	if u.mean == 0 {
		u.mean = units
	}
	u.mean += meanWeight * (units - u.mean)
}

func (u *unreported) refund(units float64) { u.units = max(u.units-units, 0) }

// unreportedLeft returns how many units this process may grant before its peers know of them.
func (l *Limiter) unreportedLeft(customer string, a *account, now time.Time) float64 {
	if l.groupSize(now) <= 1 {
		return math.Inf(1)
	}
	u := &a.unreported
	u.decay(l.reportTimeAsOf(now), now)
	tolerance := l.options.Tolerance
	tolerated := l.heardShare(now) * (ratioShare*tolerance.ratioUnits(a.quota) + slackOverdraft*tolerance.Units)
	level := a.level
	if window := tolerance.Window; a.isPaced && window > 0 && now.Sub(a.pacedSince) >= window {
		level = min(l.windowLeft(a, now), a.quota.Burst)
	}
	share := l.share(customer, a, now) * (level + u.units + tolerated)
	if share > 0 && (a.hasAdopted || !l.isRestarting(now)) {
		share = max(share+deviations*math.Sqrt(share*u.mean), minUnreported*u.mean)
	}
	return share - u.units
}

// reportTimeAsOf returns the mean time until peers know of a grant.
func (l *Limiter) reportTimeAsOf(now time.Time) time.Duration {
	if l.reportTime > 0 && now.Sub(l.reportTimeAt) < reportTimeCheckInterval {
		return l.reportTime
	}
	l.reportTimeAt = now
	sum, reporting := 0.0, 0
	for _, p := range l.peers {
		if p.interval > 0 {
			sum += p.interval
			reporting++
		}
	}
	l.reportTime = l.options.SilentAfter
	if reporting > 0 {
		l.reportTime = time.Duration(sum/float64(reporting)*float64(time.Second)) + reportMargin
	}
	return l.reportTime
}
