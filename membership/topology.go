package membership

import (
	"cmp"
	"slices"
	"time"
)

// relaysPerZone is the number of daemons of a zone that forward the digests and
// updates of others. With two of them, the loss of one causes no delay.
const relaysPerZone = 2

// topology determines which daemons exchange directly. In a small group, every pair
// does. In a larger one, each daemon exchanges with the relays of its own zone, and
// the relays of all zones exchange with each other. A digest is forwarded at most
// twice, and independently by the two relays of a zone.
type topology struct {
	self Member
	// isFullMesh is true when all daemons exchange directly.
	isFullMesh bool
	// broadcastsDirectly is true when a daemon sends its updates to all others
	// itself.
	broadcastsDirectly bool
	// relays holds the names of the relays of all zones.
	relays map[string]bool
	// firstRelays holds the name of the first relay of each zone.
	firstRelays map[string]string
}

// currentTopology returns the current topology. In a large group it is cached and
// computed anew ticksPerPeriod times in a period. It is called with the mutex held.
func (g *Group) currentTopology(now time.Time) topology {
	if now.Sub(g.cachedTopologyAt) >= g.options.Period/ticksPerPeriod || len(g.peers) < g.options.MaxDirectBroadcast {
		g.cachedTopology, g.cachedTopologyAt = g.newTopology(now), now
	}
	return g.cachedTopology
}

// isFullMesh reports whether all daemons exchange directly. It is called with the
// mutex held.
func (g *Group) isFullMesh() bool { return len(g.peers) < g.options.MaxFullMesh }

// newTopology computes the topology. A daemon that is down is never a relay. It is
// called with the mutex held.
func (g *Group) newTopology(now time.Time) topology {
	t := topology{self: g.options.Self, isFullMesh: g.isFullMesh(), broadcastsDirectly: len(g.peers) < g.options.MaxDirectBroadcast}
	if t.isFullMesh && t.broadcastsDirectly {
		return t
	}
	zones := map[string][]Member{t.self.Zone: {t.self}}
	for _, p := range g.peers {
		if g.isAlive(p, now) {
			zones[p.member.Zone] = append(zones[p.member.Zone], p.member)
		}
	}
	t.relays, t.firstRelays = make(map[string]bool), make(map[string]string)
	for zone, members := range zones {
		slices.SortFunc(members, byRank)
		t.firstRelays[zone] = members[0].Name
		for _, member := range members[:min(relaysPerZone, len(members))] {
			t.relays[member.Name] = true
		}
	}
	return t
}

// isAlive reports whether a daemon's last digest is recent enough for the daemon
// not to be down. It is called with the mutex held.
func (g *Group) isAlive(p *peer, now time.Time) bool {
	return now.Sub(p.digestMadeAt) < g.options.DownAfter+g.extraDigestAge()
}

// isReachable reports whether a daemon's last digest is recent enough for the path
// to it to be presumed intact. It is called with the mutex held.
func (g *Group) isReachable(p *peer, now time.Time) bool {
	return now.Sub(p.digestMadeAt) < g.options.UnreachableAfter+g.extraDigestAge()
}

// DigestDelay returns how much older digests are in a large group than in a small one.
func (g *Group) DigestDelay() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.extraDigestAge()
}

// extraDigestAge returns how much older digests are in a large group than in a
// small one: the period is longer, or there are two relays between daemons of
// different zones. It is called with the mutex held.
func (g *Group) extraDigestAge() time.Duration {
	if g.isFullMesh() {
		return g.period() - g.options.Period
	}
	return 2 * g.options.RelayPeriod
}

// byRank orders the daemons as candidates for relays and for readers of the store:
// by descending capacity, then by name.
func byRank(x, y Member) int {
	return cmp.Or(cmp.Compare(y.Capacity, x.Capacity), cmp.Compare(x.Name, y.Name))
}

// initiates reports whether this daemon is the caller in exchanges with another
// one. A daemon calls the relays of its zone. Between two relays, and between two
// daemons of a full mesh, the one with the lower name is the caller.
func (t topology) initiates(other Member) bool {
	isBefore := t.self.Name < other.Name
	if t.isFullMesh {
		return isBefore
	}
	if t.relays[t.self.Name] {
		return isBefore && t.relays[other.Name]
	}
	return t.relays[other.Name] && t.self.Zone == other.Zone
}

// forwards reports whether this daemon forwards the digests of one daemon to another:
// a relay forwards all digests to the daemons of its own zone, and the digests of its
// zone to the other relays.
func (t topology) forwards(to, from Member) bool {
	if t.isFullMesh || !t.relays[t.self.Name] || to.Name == from.Name {
		return false
	}
	if to.Zone == t.self.Zone {
		return true
	}
	return t.relays[to.Name] && from.Zone == t.self.Zone
}

// sendsUpdate reports whether this daemon sends an update to another one. An update
// that it has read from the store itself, for which sender is the zero Member, is sent
// to all daemons in a small group, and in a larger one to its zone and to the first
// relay of each other zone. A relay forwards the updates of another daemon to its own
// zone.
func (t topology) sendsUpdate(to, sender Member) bool {
	isOwn := sender.Name == ""
	switch {
	case t.broadcastsDirectly:
		return isOwn
	case to.Zone == t.self.Zone:
		return isOwn || t.relays[t.self.Name]
	}
	return isOwn && t.firstRelays[to.Zone] == to.Name
}
