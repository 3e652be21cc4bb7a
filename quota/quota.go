// Package quota limits the rates of customers over all daemons. Each daemon estimates
// the usage at all of them from periodic reports; in a network partition the daemons
// divide each rate evenly. It performs no I/O.
package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/catalog"
)

// Tolerance is what may be granted in any window beyond the rate in the window and the burst.
type Tolerance struct {
	Window time.Duration
	// Ratio is relative to the rate in the window and the burst. Units is added to that.
	Ratio, Units float64
}

// ratioUnits returns the part of the tolerance that grows with the quota.
func (t Tolerance) ratioUnits(q catalog.Quota) float64 {
	return t.Ratio * (q.Rate*t.Window.Seconds() + q.Burst)
}

// Options are the settings of a Limiter.
type Options struct {
	// SilentAfter is the age of a peer's last report above which the peer is
	// assumed to use an even share of each rate and of what is left. It is longer
	// for a peer that reports rarely, see SilentReports.
	SilentAfter time.Duration
	// SilentReports is the number of reports that a silent peer has missed at least.
	SilentReports float64
	// ForgetAfter is the age of a peer's last report above which the peer is
	// assumed to have stopped.
	ForgetAfter time.Duration
	// RateTimeConstant is the time constant of the moving average of a peer's rate.
	RateTimeConstant time.Duration
	// StartupGrace is the time after the start of this daemon during which the
	// first report of a peer is assumed to count usage from before that start.
	StartupGrace time.Duration
	// Tolerance is what the platform accepts beyond the quotas.
	Tolerance Tolerance
	// AfterRestart is true if earlier processes may have granted the bursts just before this
	// one started.
	AfterRestart bool
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{SilentAfter: 1200 * time.Millisecond, SilentReports: 1.5, ForgetAfter: 30 * time.Second, RateTimeConstant: 1500 * time.Millisecond, StartupGrace: 3 * time.Second}
}

// Usage is the total that one process has granted to a customer since it started.
type Usage struct {
	Customer string
	// Units is in the unit of the customer's quota.
	Units float64
	// Asked is the total that was asked for, granted or not.
	Asked float64
	// Level is the number of units left of the quota as the process knows it, for one that has just
	// started. It counts if HasLevel is true.
	Level    float64
	HasLevel bool
}

// ExceededError reports that a customer has exceeded its quota.
type ExceededError struct {
	Customer string
	// Level is the estimated number of units left, zero or less.
	Level      float64
	RetryAfter time.Duration
}

// Error implements error.
func (e *ExceededError) Error() string { return "customer " + e.Customer + " has exceeded its quota" }

// Limiter keeps a token bucket for each customer. It is safe for concurrent use.
type Limiter struct {
	options Options

	mutex     sync.Mutex
	customers map[string]*account
	peers     map[string]*peer
	// started is when SetCustomers was first called.
	started time.Time
	// overdue holds the peers whose reports were overdue at overdueCheckedAt.
	overdue          []overduePeer
	overdueCheckedAt time.Time
	// listed is the number of daemons that are known to belong to the group.
	listed int
	// reportTime is the time after which the peers know of a grant, as of reportTimeAt.
	reportTime   time.Duration
	reportTimeAt time.Time
}

// account is the token bucket of one customer, net of the usage reported by peers.
type account struct {
	quota catalog.Quota
	// level is the number of units left, at most the burst. It is negative after a
	// grant of more units than were left.
	level   float64
	updated time.Time
	// granted is the number of units that this process has granted.
	granted float64
	// asked is the number of units that this process was asked for, granted or not.
	asked float64
	// rate is a moving average of the units asked for in a second.
	rate float64
	// hasAdopted is true once the level is that of a peer which is not new.
	hasAdopted bool
	// isPaced is true from when the overdraft is used up until the level is paceUntil of the burst
	// again. Meanwhile this process grants from paceLevel.
	isPaced bool
	// pacedSince is when pacing began.
	pacedSince time.Time
	// paceLevel is the number of units left of this process's share of the rate. It is
	// negative after a grant of more units than were left.
	paceLevel float64
	// paced is when paceLevel was last refilled, and rated when rate was last updated.
	paced, rated time.Time
	// sharedRate is rate as of sharedAt, from which the share is computed: peers know no newer one.
	sharedRate float64
	sharedAt   time.Time
	// granting are the units that all daemons are known to have granted in the last window.
	granting windowSum
	// unreported are the grants that the peers do not know of yet.
	unreported unreported
}

// New returns a Limiter without customers.
func New(options Options) *Limiter {
	return &Limiter{options: options, customers: make(map[string]*account), peers: make(map[string]*peer)}
}

// SetCustomers replaces the customers and their quotas. A new customer starts with
// its full burst, unless earlier processes may have granted that.
func (l *Limiter) SetCustomers(customers []catalog.Customer, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.started.IsZero() {
		l.started = now
	}
	next := make(map[string]*account, len(customers))
	for _, customer := range customers {
		a := l.customers[customer.Name]
		if a == nil {
			a = l.newAccount(customer.Quota, now)
		}
		a.quota = customer.Quota
		a.level = min(a.level, customer.Quota.Burst)
		next[customer.Name] = a
	}
	l.customers = next
}

// newAccount returns the account of a quota that this process has just learned of. Earlier
// processes may have granted all that it allows.
func (l *Limiter) newAccount(q catalog.Quota, now time.Time) *account {
	a := &account{level: q.Burst, updated: now}
	if l.isRestarting(now) {
		a.level = -startDeficit * l.options.Tolerance.ratioUnits(q)
	}
	return a
}

// SetGroupSize sets the number of daemons that share the quotas as far as they are listed. It
// counts until the peers have had the time to report.
func (l *Limiter) SetGroupSize(daemons int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.listed = daemons
}

// groupSize returns the number of daemons that share the quotas.
func (l *Limiter) groupSize(now time.Time) float64 {
	known := len(l.peers) + 1
	if now.Sub(l.started) < l.options.StartupGrace {
		known = max(known, l.listed)
	}
	return float64(known)
}

// OwnUsage returns the totals that this process has granted and was asked for, for its peers. toNew is
// true for one that has just started, which is told the levels too.
func (l *Limiter) OwnUsage(toNew bool, now time.Time) []Usage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	toNew = toNew && !l.started.IsZero() && now.Sub(l.started) >= l.options.StartupGrace
	var usages []Usage
	for name, a := range l.customers {
		usage := Usage{Customer: name, Units: a.granted, Asked: a.asked}
		if toNew && a.quota.Rate > 0 {
			l.advance(name, a, now)
			usage.Level, usage.HasLevel = a.level-l.unheard(name, now), true
		}
		if a.asked != 0 || usage.HasLevel {
			usages = append(usages, usage)
		}
	}
	slices.SortFunc(usages, func(x, y Usage) int { return cmp.Compare(x.Customer, y.Customer) })
	return usages
}

// Merge merges the totals that a peer has granted since it started.
func (l *Limiter) Merge(name, incarnation string, usages []Usage, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.releaseReserves(l.peers[name], now)
	l.dropOverdue(l.peers[name])
	p := l.peers[name]
	if p == nil || p.incarnation != incarnation {
		isEarlierUsage := p == nil && (l.started.IsZero() || now.Sub(l.started) < l.options.StartupGrace)
		if p != nil {
			l.chargeUnheard(p, now)
		}
		p = newPeer(incarnation, now)
		if isEarlierUsage {
			l.setBaseline(p, usages, now)
		}
		l.peers[name] = p
	}
	since := now.Sub(p.lastReport).Seconds()
	if since > 0 {
		p.updateInterval(since)
	}
	for _, usage := range usages {
		increase := usage.Units - p.granted[usage.Customer]
		p.updateRates(usage, increase, since, l.options.RateTimeConstant)
		if a := l.customers[usage.Customer]; a != nil {
			l.advance(usage.Customer, a, now)
			a.level = min(a.level-increase, a.quota.Burst)
			a.granting.add(increase, l.options.Tolerance.Window, now)
			l.adoptLevel(a, usage, now)
		}
	}
	p.lastReport = now
}

// available estimates the units left, less what peers have granted since their last
// reports. What was set aside for a peer covers a part of that.
func (l *Limiter) available(customer string, a *account, now time.Time) float64 {
	granted := 0.0
	for _, p := range l.peers {
		if age := now.Sub(p.lastReport); age > 0 {
			granted += p.rates[customer] * age.Seconds() * (1 - p.overdue(l.options, now))
		}
	}
	return a.level - granted
}
