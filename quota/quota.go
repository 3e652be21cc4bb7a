// Package quota holds customers to their rates over all daemons. Each daemon
// keeps an estimate of what all of them have used; daemons that can't hear each
// other divide the rate. It has no input or output.
package quota

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/catalog"
)

// Options sets how use is estimated.
type Options struct {
	// SilentAfter is the age of a peer's last word after which it is taken to
	// use an even share of each rate.
	SilentAfter time.Duration
	// ForgetAfter is the age after which a silent peer is taken to be gone.
	ForgetAfter time.Duration
	// RateMemory is the time constant of the mean use of a peer.
	RateMemory time.Duration
	// NewFor is how long after its start a daemon takes what it first hears of
	// a peer as used before that start.
	NewFor time.Duration
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{SilentAfter: 1500 * time.Millisecond, ForgetAfter: 30 * time.Second, RateMemory: 1500 * time.Millisecond, NewFor: 3 * time.Second}
}

// Use is what one process has granted to a customer since it started.
type Use struct {
	Customer string
	// Units is in the unit of the customer's quota and never falls.
	Units float64
}

// ExceededError says that a customer has used up its quota.
type ExceededError struct {
	Customer string
	// Level is the estimate of what is left, zero or less.
	Level      float64
	RetryAfter time.Duration
}

// Error implements error.
func (e *ExceededError) Error() string { return "the quota of customer " + e.Customer + " is used up" }

// Book keeps the levels of all customers. It is safe for use by several
// goroutines.
type Book struct {
	options Options

	mutex     sync.Mutex
	customers map[string]*account
	peers     map[string]*peer
	// started is when the first customers were set.
	started time.Time
}

// account is the estimate for one customer.
type account struct {
	quota catalog.Quota
	// level is what may still be granted, at most the burst. It is negative
	// after more was granted than there was.
	level   float64
	updated time.Time
	// own is what this process has granted.
	own float64
}

// peer is what another daemon told.
type peer struct {
	incarnation string
	heard       time.Time
	used        map[string]float64
	// rates is the mean use a second. Grants come in bursts, all in one
	// interval between two words and none in the next.
	rates map[string]float64
}

func newPeer(incarnation string, now time.Time) *peer {
	return &peer{
		incarnation: incarnation, heard: now, used: make(map[string]float64), rates: make(map[string]float64),
	}
}

// noteRate takes in the use in the seconds since the last word.
func (p *peer) noteRate(customer string, units, since float64, memory time.Duration) {
	if since <= 0 {
		return
	}
	weight := 1 - math.Exp(-since/memory.Seconds())
	p.rates[customer] += weight * (max(units/since, 0) - p.rates[customer])
}

// forgive takes what the peer has granted so far as used earlier.
func (p *peer) forgive(uses []Use) {
	for _, use := range uses {
		p.used[use.Customer] = use.Units
	}
}

// New returns a book without customers.
func New(options Options) *Book {
	return &Book{options: options, customers: make(map[string]*account), peers: make(map[string]*peer)}
}

// SetCustomers replaces the quotas.
func (b *Book) SetCustomers(customers []catalog.Customer, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.started.IsZero() {
		b.started = now
	}
	next := make(map[string]*account, len(customers))
	for _, customer := range customers {
		held := b.customers[customer.Name]
		if held == nil {
			held = &account{level: customer.Quota.Burst, updated: now}
		}
		held.quota = customer.Quota
		held.level = min(held.level, customer.Quota.Burst)
		next[customer.Name] = held
	}
	b.customers = next
}

// Take grants units to a customer or fails with an *ExceededError. A grant may
// take more than is left, so that a request is not too large for ever.
func (b *Book) Take(customer string, units float64, now time.Time) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a := b.customers[customer]
	if a == nil || a.quota.Rate <= 0 {
		return nil
	}
	b.advance(customer, a, now)
	if level := a.level - b.unheard(customer, now); level <= 0 {
		wait := time.Duration((1 - level) / a.quota.Rate * float64(time.Second))
		return &ExceededError{Customer: customer, Level: level, RetryAfter: wait}
	}
	a.level -= units
	a.own += units
	return nil
}

// GiveBack returns units that were granted and not used.
func (b *Book) GiveBack(customer string, units float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if a := b.customers[customer]; a != nil && a.quota.Rate > 0 {
		a.level = min(a.level+units, a.quota.Burst)
		a.own -= units
	}
}

// Uses returns what this process has granted, for its peers.
func (b *Book) Uses() []Use {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var uses []Use
	for name, a := range b.customers {
		if a.own != 0 {
			uses = append(uses, Use{Customer: name, Units: a.own})
		}
	}
	slices.SortFunc(uses, func(x, y Use) int { return cmp.Compare(x.Customer, y.Customer) })
	return uses
}

// Hear takes in what a peer has granted.
func (b *Book) Hear(name, incarnation string, uses []Use, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	p := b.peers[name]
	if p == nil || p.incarnation != incarnation {
		isEarlier := p == nil && (b.started.IsZero() || now.Sub(b.started) < b.options.NewFor)
		p = newPeer(incarnation, now)
		if isEarlier {
			p.forgive(uses)
		}
		b.peers[name] = p
	}
	since := now.Sub(p.heard).Seconds()
	for _, use := range uses {
		more := use.Units - p.used[use.Customer]
		p.used[use.Customer] = use.Units
		p.noteRate(use.Customer, more, since, b.options.RateMemory)
		if a := b.customers[use.Customer]; a != nil {
			b.advance(use.Customer, a, now)
			a.level = min(a.level-more, a.quota.Burst)
		}
	}
	p.heard = now
}

// advance adds what the passed time allows, less the even shares of peers that
// are silent.
func (b *Book) advance(customer string, a *account, now time.Time) {
	passed := now.Sub(a.updated).Seconds()
	if passed <= 0 {
		return
	}
	a.updated = now
	silent, total := b.count(now)
	gained := passed * a.quota.Rate * float64(total-silent) / float64(total)
	a.level = min(a.level+gained, a.quota.Burst)
}

// count returns the silent daemons, and all daemons with this one.
func (b *Book) count(now time.Time) (silent, total int) {
	total = 1
	for name, p := range b.peers {
		age := now.Sub(p.heard)
		if age > b.options.ForgetAfter {
			delete(b.peers, name)
			continue
		}
		total++
		if age > b.options.SilentAfter {
			silent++
		}
	}
	return silent, total
}

// unheard estimates what peers have granted since their last words.
func (b *Book) unheard(customer string, now time.Time) float64 {
	total := 0.0
	for _, p := range b.peers {
		age := min(now.Sub(p.heard), b.options.SilentAfter)
		if age > 0 {
			total += p.rates[customer] * age.Seconds()
		}
	}
	return total
}
