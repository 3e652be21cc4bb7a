package quota

import (
	"math"
	"time"
)

// peer is the state reported by another daemon.
type peer struct {
	incarnation string
	lastReport  time.Time
	// granted holds the totals in the last report by customer.
	granted map[string]float64
	// rates holds moving averages of units per second. They are averaged because
	// grants come in bursts: many between two reports and none before the next.
	rates             map[string]float64
	asked, askedRates map[string]float64
	// interval is a moving average of the time between two reports, in seconds.
	interval float64
	// reserves holds what was set aside by customer for the grants of a peer whose
	// report is overdue.
	reserves map[string]reserve
}

func newPeer(incarnation string, now time.Time) *peer {
	return &peer{
		incarnation: incarnation, lastReport: now, granted: make(map[string]float64), rates: make(map[string]float64), asked: make(map[string]float64), askedRates: make(map[string]float64),
		reserves: make(map[string]reserve),
	}
}

// intervalWeight is the weight of the newest value in the average time between reports.
const intervalWeight = 0.3

// updateInterval updates the average time between two reports.
func (p *peer) updateInterval(since float64) {
	if p.interval == 0 {
		p.interval = since
	}
	p.interval += intervalWeight * (since - p.interval)
}

// reserve is what was set aside of one customer's quota for one peer.
type reserve struct {
	units float64
	// fraction is the part of the peer's even share of the level that was set aside,
	// between 0 and 1.
	fraction float64
}

// overdueReports is the age of a peer's last report, in times between two reports, from
// which on units are set aside for it.
const overdueReports = 1

// overdue returns how far a peer is on the way from reporting in time, 0, to being silent,
// 1.
func (p *peer) overdue(options Options, now time.Time) float64 {
	silentAfter := max(options.SilentAfter.Seconds(), options.SilentReports*p.interval)
	dueAfter := overdueReports * p.interval
	if p.interval == 0 {
		dueAfter = silentAfter / 2
	}
	age := now.Sub(p.lastReport).Seconds()
	return min(max((age-dueAfter)/(silentAfter-dueAfter), 0), 1)
}

// updateRates updates the totals and the moving averages of a customer. increase is what the
// peer has granted in the seconds since the last report.
func (p *peer) updateRates(usage Usage, increase, since float64, timeConstant time.Duration) {
	asked := usage.Asked - p.asked[usage.Customer]
	p.granted[usage.Customer], p.asked[usage.Customer] = usage.Units, usage.Asked
	if since <= 0 {
		return
	}
	weight := 1 - math.Exp(-since/timeConstant.Seconds())
	p.rates[usage.Customer] += weight * (max(increase/since, 0) - p.rates[usage.Customer])
	p.askedRates[usage.Customer] += weight * (max(asked/since, 0) - p.askedRates[usage.Customer])
}

// askedRate returns what a peer is asked for in a second, or the assumed rate before its second
// report, until which that is not known.
func (p *peer) askedRate(customer string, assumed float64) float64 {
	if p.interval == 0 {
		return assumed
	}
	return p.askedRates[customer]
}

// setBaseline excludes from the accounts what a peer has granted before this process
// started. What it has granted since is not known: at most its even share of the rate counts.
func (l *Limiter) setBaseline(p *peer, usages []Usage, now time.Time) {
	since := now.Sub(l.started).Seconds()
	for _, usage := range usages {
		p.granted[usage.Customer] = usage.Units
		p.asked[usage.Customer] = usage.Asked
		if a := l.customers[usage.Customer]; a != nil {
			p.granted[usage.Customer] = max(usage.Units-a.quota.Rate*since/l.groupSize(now), 0)
		}
	}
}

// unheard estimates what a peer has granted to a customer after its last report. A process that is
// killed has granted no more than until its next report was due.
func (p *peer) unheard(customer string, now time.Time) float64 {
	return p.rates[customer] * max(min(now.Sub(p.lastReport).Seconds(), p.interval), 0)
}

// unheard estimates what the peers have granted to a customer after their last reports.
func (l *Limiter) unheard(customer string, now time.Time) float64 {
	units := 0.0
	for _, p := range l.peers {
		units += p.unheard(customer, now)
	}
	return units
}

// chargeUnheard takes what a peer's process is assumed to have granted after its last report from the
// accounts: another process has replaced it, which does not know of it.
func (l *Limiter) chargeUnheard(p *peer, now time.Time) {
	for customer, a := range l.customers {
		units := p.unheard(customer, now)
		if units <= 0 {
			continue
		}
		l.advance(customer, a, now)
		a.level -= units
		a.granting.add(units, l.options.Tolerance.Window, now)
	}
}
