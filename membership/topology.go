package membership

import (
	"cmp"
	"slices"
	"time"
)

// relaysPerZone is the number of daemons of a zone that pass on what others
// tell, so that the loss of one of them delays nothing.
const relaysPerZone = 2

// topology says which daemons exchange directly: all of a small group. In a
// larger one, each does so with the relays of its own zone, and the relays of all
// zones with each other. Everything is passed on twice at most, and two relays of
// a zone do so independently.
type topology struct {
	self Member
	// isMesh is true when all daemons exchange directly.
	isMesh bool
	// tellsAll is true when a daemon tells news to all others itself.
	tellsAll bool
	// relays holds the names of the relays of all zones.
	relays map[string]bool
	// first holds the name of the first relay of each zone.
	first map[string]string
}

// topology returns the present one, made anew a few times in a period. It is called
// with the mutex held.
func (g *Group) topology(now time.Time) topology {
	if now.Sub(g.linkedAt) >= g.options.Period/steps || len(g.peers) < g.options.TellMost {
		g.links, g.linkedAt = g.newTopology(now), now
	}
	return g.links
}

// isMesh reports whether all daemons exchange directly. It is called with the mutex
// held.
func (g *Group) isMesh() bool { return len(g.peers) < g.options.MeshMost }

// newTopology makes a topology in which a daemon that is not heard is no relay.
func (g *Group) newTopology(now time.Time) topology {
	t := topology{self: g.options.Self, isMesh: g.isMesh(), tellsAll: len(g.peers) < g.options.TellMost}
	if t.isMesh && t.tellsAll {
		return t
	}
	zones := map[string][]Member{t.self.Zone: {t.self}}
	for _, p := range g.peers {
		if g.isHeard(p, now) {
			zones[p.member.Zone] = append(zones[p.member.Zone], p.member)
		}
	}
	t.relays, t.first = make(map[string]bool), make(map[string]string)
	for zone, members := range zones {
		slices.SortFunc(members, byRank)
		t.first[zone] = members[0].Name
		for _, member := range members[:min(relaysPerZone, len(members))] {
			t.relays[member.Name] = true
		}
	}
	return t
}

// isHeard reports whether a daemon's last word is so new that the daemon is taken to
// live. It is called with the mutex held.
func (g *Group) isHeard(p *peer, now time.Time) bool {
	return now.Sub(p.heard) < g.options.SilentAfter+g.extraAge()
}

// isCurrent reports whether a daemon's last word is so new that the way to it is
// taken to work. It is called with the mutex held.
func (g *Group) isCurrent(p *peer, now time.Time) bool {
	return now.Sub(p.heard) < g.options.MuteAfter+g.extraAge()
}

// extraAge is how much older the words of other daemons are in a large group: the
// period is longer, or two relays lie between daemons of different zones.
func (g *Group) extraAge() time.Duration {
	if g.isMesh() {
		return g.period() - g.options.Period
	}
	return 2 * g.options.RelayPeriod
}

// byRank orders daemons for work that few do for all: those on large VMs come
// first.
func byRank(x, y Member) int {
	return cmp.Or(cmp.Compare(y.Capacity, x.Capacity), cmp.Compare(x.Name, y.Name))
}

// calls reports whether this daemon calls another one. A daemon calls the relays
// of its zone; of two relays, and in a small group, the one with the lower name
// calls.
func (t topology) calls(other Member) bool {
	isBefore := t.self.Name < other.Name
	if t.isMesh {
		return isBefore
	}
	if t.relays[t.self.Name] {
		return isBefore && t.relays[other.Name]
	}
	return t.relays[other.Name] && t.self.Zone == other.Zone
}

// passesOn reports whether this daemon tells another one what a third one told.
func (t topology) passesOn(to, from Member) bool {
	if t.isMesh || !t.relays[t.self.Name] || to.Name == from.Name {
		return false
	}
	if to.Zone == t.self.Zone {
		return true
	}
	return t.relays[to.Name] && from.Zone == t.self.Zone
}

// tells reports whether this daemon tells another one of news: of its own to all
// in a small group, and in a larger one to its zone and the first relay of each
// other one; of those that another daemon told it to its zone, if it is a relay.
func (t topology) tells(to, sender Member) bool {
	isOwn := sender.Name == ""
	switch {
	case t.tellsAll:
		return isOwn
	case to.Zone == t.self.Zone:
		return isOwn || t.relays[t.self.Name]
	}
	return isOwn && t.first[to.Zone] == to.Name
}
