// Package quota limits the rates of customers over all daemons. Each daemon estimates
// the usage at all of them from periodic reports; in a network partition the daemons
// divide each rate evenly. It performs no I/O.
package quota

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/catalog"
)

// Options are the settings of a Limiter.
type Options struct {
	// SilentAfter is the age of a peer's last report above which the peer is
	// assumed to use an even share of each rate.
	SilentAfter time.Duration
	// ForgetAfter is the age of a peer's last report above which the peer is
	// assumed to have stopped.
	ForgetAfter time.Duration
	// RateTimeConstant is the time constant of the moving average of a peer's rate.
	RateTimeConstant time.Duration
	// StartupGrace is the time after the start of this daemon during which the
	// first report of a peer is assumed to count usage from before that start.
	StartupGrace time.Duration
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{SilentAfter: 1500 * time.Millisecond, ForgetAfter: 30 * time.Second, RateTimeConstant: 1500 * time.Millisecond, StartupGrace: 3 * time.Second}
}

// Usage is the total that one process has granted to a customer since it started.
type Usage struct {
	Customer string
	// Units is in the unit of the customer's quota.
	Units float64
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
}

// peer is the state reported by another daemon.
type peer struct {
	incarnation string
	lastReport  time.Time
	// granted holds the totals in the last report by customer.
	granted map[string]float64
	// rates holds moving averages of units per second. They are averaged because
	// grants come in bursts: many between two reports and none before the next.
	rates map[string]float64
}

func newPeer(incarnation string, now time.Time) *peer {
	return &peer{
		incarnation: incarnation, lastReport: now, granted: make(map[string]float64), rates: make(map[string]float64),
	}
}

// updateRate updates the moving average with the units used in the seconds since the
// last report.
func (p *peer) updateRate(customer string, units, since float64, timeConstant time.Duration) {
	if since <= 0 {
		return
	}
	weight := 1 - math.Exp(-since/timeConstant.Seconds())
	p.rates[customer] += weight * (max(units/since, 0) - p.rates[customer])
}

// setBaseline excludes what the peer has granted so far from the accounts.
func (p *peer) setBaseline(usages []Usage) {
	for _, usage := range usages {
		p.granted[usage.Customer] = usage.Units
	}
}

// New returns a Limiter without customers.
func New(options Options) *Limiter {
	return &Limiter{options: options, customers: make(map[string]*account), peers: make(map[string]*peer)}
}

// SetCustomers replaces the customers and their quotas. A new customer starts with
// its full burst.
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
			a = &account{level: customer.Quota.Burst, updated: now}
		}
		a.quota = customer.Quota
		a.level = min(a.level, customer.Quota.Burst)
		next[customer.Name] = a
	}
	l.customers = next
}

// Take grants units to a customer or fails with an *ExceededError. A grant may exceed
// the units left: otherwise a request above the burst would never be granted.
func (l *Limiter) Take(customer string, units float64, now time.Time) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.customers[customer]
	if a == nil || a.quota.Rate <= 0 {
		return nil
	}
	l.advance(customer, a, now)
	if level := a.level - l.unreportedUsage(customer, now); level <= 0 {
		wait := time.Duration((1 - level) / a.quota.Rate * float64(time.Second))
		return &ExceededError{Customer: customer, Level: level, RetryAfter: wait}
	}
	a.level -= units
	a.granted += units
	return nil
}

// Refund refunds units that were granted but not used.
func (l *Limiter) Refund(customer string, units float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if a := l.customers[customer]; a != nil && a.quota.Rate > 0 {
		a.level = min(a.level+units, a.quota.Burst)
		a.granted -= units
	}
}

// OwnUsage returns the totals that this process has granted, to report them to its peers.
func (l *Limiter) OwnUsage() []Usage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var usages []Usage
	for name, a := range l.customers {
		if a.granted != 0 {
			usages = append(usages, Usage{Customer: name, Units: a.granted})
		}
	}
	slices.SortFunc(usages, func(x, y Usage) int { return cmp.Compare(x.Customer, y.Customer) })
	return usages
}

// Merge merges the totals that a peer has granted since it started.
func (l *Limiter) Merge(name, incarnation string, usages []Usage, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	p := l.peers[name]
	if p == nil || p.incarnation != incarnation {
		isEarlierUsage := p == nil && (l.started.IsZero() || now.Sub(l.started) < l.options.StartupGrace)
		p = newPeer(incarnation, now)
		if isEarlierUsage {
			p.setBaseline(usages)
		}
		l.peers[name] = p
	}
	since := now.Sub(p.lastReport).Seconds()
	for _, usage := range usages {
		increase := usage.Units - p.granted[usage.Customer]
		p.granted[usage.Customer] = usage.Units
		p.updateRate(usage.Customer, increase, since, l.options.RateTimeConstant)
		if a := l.customers[usage.Customer]; a != nil {
			l.advance(usage.Customer, a, now)
			a.level = min(a.level-increase, a.quota.Burst)
		}
	}
	p.lastReport = now
}

// advance refills an account for the time since the last refill, less the even shares
// of silent peers.
func (l *Limiter) advance(customer string, a *account, now time.Time) {
	passed := now.Sub(a.updated).Seconds()
	if passed <= 0 {
		return
	}
	a.updated = now
	silent, total := l.countDaemons(now)
	gained := passed * a.quota.Rate * float64(total-silent) / float64(total)
	a.level = min(a.level+gained, a.quota.Burst)
}

// countDaemons returns the number of silent daemons and of all daemons, including
// this one. It drops the peers that are assumed to have stopped.
func (l *Limiter) countDaemons(now time.Time) (silent, total int) {
	total = 1
	for name, p := range l.peers {
		age := now.Sub(p.lastReport)
		if age > l.options.ForgetAfter {
			delete(l.peers, name)
			continue
		}
		total++
		if age > l.options.SilentAfter {
			silent++
		}
	}
	return silent, total
}

// unreportedUsage estimates the units that peers have granted since their last reports.
func (l *Limiter) unreportedUsage(customer string, now time.Time) float64 {
	total := 0.0
	for _, p := range l.peers {
		age := min(now.Sub(p.lastReport), l.options.SilentAfter)
		if age > 0 {
			total += p.rates[customer] * age.Seconds()
		}
	}
	return total
}
