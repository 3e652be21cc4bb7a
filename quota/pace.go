package quota

import (
	"math"
	"time"
)

// Daemons that share an exhausted quota all see it refilled at about the same time. If
// each of them granted what is left, they would together grant it many times over before
// their reports arrive, and then nothing for as long. An exhausted quota is therefore
// paced: each daemon grants its own share of the rate.
const (
	// paceUntil is the part of the burst that must be left before pacing ends.
	paceUntil = 0.8
	// paceBurst is how long an unused share of the rate is kept.
	paceBurst = 500 * time.Millisecond
	// paceGain is by how much the paced rate rises, relative to the rate, with each burst
	// that is left, and paceBias what it is more than the rate at a level of zero. Shares that
	// are not used would otherwise add up to an unused part of the quota.
	paceGain = 0.5
	paceBias = 0.05
	// evenWeight is the part of the rate that is shared evenly, so that a daemon at
	// which demand begins gets a share. The rest is shared by what the daemons are asked for.
	evenWeight = 0.3
	// ratioOverdraft and slackOverdraft are the parts of the platform's tolerance by which the
	// level may be exceeded: the part that grows with the quota, and the absolute one, in which
	// single large requests on a small quota fit.
	ratioOverdraft = 0.05
	slackOverdraft = 0.4
)

// spendable returns the units that this process may grant as far as it knows the level.
func (l *Limiter) spendable(customer string, a *account, now time.Time) float64 {
	level := l.available(customer, a, now)
	tolerance := l.options.Tolerance
	overdraft := l.heardShare(now) * (ratioOverdraft*tolerance.ratioUnits(a.quota) + slackOverdraft*tolerance.Units)
	if level <= -overdraft && !l.isRestarting(now) {
		a.startPacing(now)
	}
	if level >= a.quota.Burst*paceUntil {
		a.isPaced = false
	}
	if !a.isPaced {
		return level + overdraft
	}
	if window := tolerance.Window; window > 0 && now.Sub(a.pacedSince) >= window {
		return l.spendableInWindow(customer, a, a.level-level, now)
	}
	correction := paceBias + paceGain*max(min(level/a.burst(), 1), -1)
	a.refillPace(l.share(customer, a, now)*(1+correction)*a.quota.Rate, now)
	return min(level+overdraft, a.paceLevel)
}

// isRestarting reports whether this process may have replaced another one a moment ago. Its account
// then begins below zero although nothing is known of the demand, and shares would be even.
func (l *Limiter) isRestarting(now time.Time) bool {
	return l.options.AfterRestart && now.Sub(l.started) < l.options.StartupGrace
}

// adoptLevel takes the level that a peer knows, once, if this process has just started. What the
// peer does not know of yet is small beside what this process would assume.
func (l *Limiter) adoptLevel(a *account, usage Usage, now time.Time) {
	if !usage.HasLevel || a.hasAdopted || !l.isRestarting(now) {
		return
	}
	a.hasAdopted = true
	a.level = min(usage.Level, a.quota.Burst) - a.granted
}

// burst returns the burst as a divisor: a quota may have none.
func (a *account) burst() float64 { return max(a.quota.Burst, 1) }

// startPacing begins pacing if the account is not paced yet.
func (a *account) startPacing(now time.Time) {
	if a.isPaced {
		return
	}
	a.isPaced, a.pacedSince, a.paceLevel, a.paced = true, now, 0, now
}

// refillPace adds this process's units since the last refill.
func (a *account) refillPace(perSecond float64, now time.Time) {
	a.paceLevel = min(a.paceLevel+perSecond*now.Sub(a.paced).Seconds(), perSecond*paceBurst.Seconds())
	a.paced = now
}

// updateRate updates the moving average of what this process is asked for.
func (a *account) updateRate(units float64, now time.Time, timeConstant time.Duration) {
	a.rate = a.rateAt(now, timeConstant) + units/timeConstant.Seconds()
	a.rated = now
}

// rateAt returns the moving average at a time.
func (a *account) rateAt(now time.Time, timeConstant time.Duration) float64 {
	return a.rate * math.Exp(-now.Sub(a.rated).Seconds()/timeConstant.Seconds())
}

// share returns this process's share of a customer's rate. The shares of all daemons add
// up to one if they know the same rates; those of silent peers remain unused.
func (l *Limiter) share(customer string, a *account, now time.Time) float64 {
	if now.Sub(a.sharedAt) > l.reportTimeAsOf(now) {
		a.sharedRate, a.sharedAt = a.rateAt(now, l.options.RateTimeConstant), now
	}
	total, heard, sum := l.groupSize(now), 1.0, a.sharedRate
	// Many processes that start at once would take nearly all of the rate if each assumed that its
	// peers are asked for nothing.
	assumed := 0.0
	if l.isRestarting(now) {
		assumed = a.sharedRate
	}
	for _, p := range l.peers {
		fraction := 1 - p.overdue(l.options, now)
		heard += fraction
		sum += p.askedRate(customer, assumed) * fraction
	}
	byRate := 1 / heard
	if sum > 0 {
		byRate = a.sharedRate / sum
	}
	return heard/total*(1-evenWeight)*byRate + evenWeight/total
}

// heardShare returns the part of the group whose reports arrive. Daemons that are cut off from
// each other share the overdraft as well.
func (l *Limiter) heardShare(now time.Time) float64 {
	missing := 0.0
	for _, o := range l.overduePeers(now) {
		missing += o.fraction
	}
	total := l.groupSize(now)
	return max(total-missing, 1) / total
}
