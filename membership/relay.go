package membership

import (
	"hash/crc32"
	"slices"
	"time"
)

// relaysPerZone is the number of daemons of a zone that pass on what others
// tell, so that the loss of one of them delays nothing.
const relaysPerZone = 2

// Message is what two daemons exchange.
type Message struct {
	Own Digest
	// Relayed holds what other daemons told.
	Relayed []Relayed
	// Held names the newest digest that the sender has of each daemon, so that
	// it is not sent again. It is empty while all daemons exchange directly.
	Held []Held
}

// Relayed is a digest that a daemon passes on.
type Relayed struct {
	Digest Digest
	// Age is how long ago the sender of the digest made it.
	Age time.Duration
}

// Held names one digest.
type Held struct {
	Daemon string
	// Start is a checksum of the incarnation.
	Start    uint32
	Sequence uint64
}

// heldOf names a digest.
func heldOf(digest Digest) Held {
	return Held{
		Daemon: digest.Sender.Name, Start: crc32.ChecksumIEEE([]byte(digest.Sender.Incarnation)), Sequence: digest.Sequence,
	}
}

// topology says which daemons exchange directly: all of a small group. In a
// larger one, each does so with the relays of its own zone, and the relays of all
// zones with each other. Everything is passed on twice at most, and two relays of
// a zone do so independently.
type topology struct {
	self Member
	// isMesh is true when all daemons exchange directly.
	isMesh bool
	// relays holds the names of the relays of all zones.
	relays map[string]bool
}

// topology is called with the mutex held. A daemon that is not heard is no relay.
func (g *Group) topology(now time.Time) topology {
	t := topology{self: g.options.Self, isMesh: len(g.peers) < g.options.MeshMost}
	if t.isMesh {
		return t
	}
	zones := map[string][]string{t.self.Zone: {t.self.Name}}
	for name, p := range g.peers {
		if now.Sub(p.heard) < g.options.SilentAfter {
			zones[p.member.Zone] = append(zones[p.member.Zone], name)
		}
	}
	t.relays = make(map[string]bool)
	for _, names := range zones {
		slices.Sort(names)
		for _, name := range names[:min(relaysPerZone, len(names))] {
			t.relays[name] = true
		}
	}
	return t
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

// relayed returns the digests for another daemon that are not held there. It is
// called with the mutex held.
func (g *Group) relayed(t topology, to Member, held []Held, now time.Time) []Relayed {
	var relayed []Relayed
	for _, p := range g.peers {
		age := now.Sub(p.heard)
		if p.digest.Sequence == 0 || age >= g.options.MuteAfter || !t.passesOn(to, p.member) {
			continue
		}
		if !slices.Contains(held, heldOf(p.digest)) {
			relayed = append(relayed, Relayed{Digest: p.digest, Age: age})
		}
	}
	return relayed
}

// held names the digests that this daemon holds. It is called with the mutex held.
func (g *Group) held(t topology) []Held {
	if t.isMesh {
		return nil
	}
	var held []Held
	for _, p := range g.peers {
		if p.digest.Sequence > 0 {
			held = append(held, heldOf(p.digest))
		}
	}
	return held
}

// accept takes over a digest that is newer than what is held of its sender. It
// reports whether it was.
func (g *Group) accept(digest Digest, delay time.Duration, isDirect bool) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	made := g.common.Clock.Now().Add(-delay)
	if p := g.peers[digest.Sender.Name]; p != nil && !p.isNews(digest, made, isDirect) {
		return false
	}
	p := g.add(digest.Sender)
	p.heard = made
	p.ends = make(map[string]TopicEnd, len(digest.Ends))
	for _, end := range digest.Ends {
		p.ends[end.Topic] = end
	}
	p.digest = digest
	// What only a daemon that has just started needs is not passed on.
	p.digest.Members, p.digest.Heard = nil, nil
	return true
}

// isNews reports whether a digest is newer than the last one. One of another
// start that was passed on may be that of an earlier one.
func (p *peer) isNews(digest Digest, made time.Time, isDirect bool) bool {
	if p.digest.Sequence > 0 && p.digest.Sender.Incarnation == digest.Sender.Incarnation {
		return digest.Sequence > p.digest.Sequence
	}
	return isDirect || made.After(p.heard)
}
