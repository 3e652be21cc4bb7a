package quota

import (
	"slices"
	"time"
)

// releaseReserves returns what was set aside for a peer, whose report says what it has
// granted.
func (l *Limiter) releaseReserves(p *peer, now time.Time) {
	if p == nil {
		return
	}
	for customer, r := range p.reserves {
		if a := l.customers[customer]; a != nil {
			l.advance(customer, a, now)
			a.level += r.units
		}
	}
	clear(p.reserves)
}

// advance refills an account for the time since the last refill. Peers whose reports are
// overdue get a part of their even shares of the refill and of what is left, and silent
// ones the whole: if this daemon is the one that is cut off, each of the others assumes
// the same of it.
func (l *Limiter) advance(customer string, a *account, now time.Time) {
	passed := now.Sub(a.updated).Seconds()
	if passed <= 0 {
		return
	}
	a.updated = now
	total := float64(len(l.peers) + 1)
	refill, sharers := passed*a.quota.Rate, total
	overdue := l.overduePeers(now)
	for _, o := range overdue {
		sharers -= o.peer.reserves[customer].fraction
	}
	gained := refill
	for _, o := range overdue {
		r := o.peer.reserves[customer]
		if more := o.fraction - r.fraction; more > 0 {
			share := max(a.level, 0) * more / sharers
			a.level -= share
			sharers -= more
			r.units, r.fraction = r.units+share, o.fraction
		}
		withheld := refill * o.fraction / total
		r.units += withheld
		gained -= withheld
		o.peer.reserves[customer] = r
	}
	a.level = min(a.level+gained, a.quota.Burst)
}

// overduePeer is a peer whose report is overdue.
type overduePeer struct {
	peer *peer
	// fraction is how far the peer is on the way to being silent, above 0.
	fraction float64
}

// dropOverdue removes a peer that has reported from those that are overdue.
func (l *Limiter) dropOverdue(p *peer) {
	l.overdue = slices.DeleteFunc(l.overdue, func(o overduePeer) bool { return o.peer == p })
}

// overdueCheckInterval is the time between two checks for overdue reports, which go
// through all peers.
const overdueCheckInterval = 20 * time.Millisecond

// overduePeers returns the peers whose reports are overdue, as of the last check.
func (l *Limiter) overduePeers(now time.Time) []overduePeer {
	if now.Sub(l.overdueCheckedAt) < overdueCheckInterval {
		return l.overdue
	}
	l.overdueCheckedAt = now
	l.overdue = l.overdue[:0]
	l.dropStopped(now)
	for _, p := range l.peers {
		if fraction := p.overdue(l.options, now); fraction > 0 {
			l.overdue = append(l.overdue, overduePeer{peer: p, fraction: fraction})
		}
	}
	return l.overdue
}

// dropStopped drops the peers that are assumed to have stopped.
func (l *Limiter) dropStopped(now time.Time) {
	for name, p := range l.peers {
		if now.Sub(p.lastReport) > l.options.ForgetAfter {
			delete(l.peers, name)
		}
	}
}
