package membership

import (
	"cmp"
	"hash/crc32"
	"slices"
	"time"
)

// relaysPerZone is the number of daemons of a zone that pass on what others
// tell, so that the loss of one of them delays nothing.
const relaysPerZone = 2

// Message is what two daemons exchange.
type Message struct {
	Own Envelope
	// Relayed holds what other daemons told.
	Relayed []Envelope
	// Held names the newest digest that the sender has of each daemon, so that
	// it is not sent again. It is empty while all daemons exchange directly.
	Held []Held
}

// Envelope carries the digest of one daemon. Relays pass it on without reading it
// again.
type Envelope struct {
	Held Held
	// Age is how long ago the daemon made the digest.
	Age time.Duration
	// Content is the encoded Digest.
	Content []byte
}

// Held names one digest.
type Held struct {
	Daemon string
	// Start is a checksum of the incarnation.
	Start uint32
	// Sequence rises with each digest of the daemon's start; it is never zero.
	Sequence uint64
}

// startOf returns the checksum of a member's incarnation.
func startOf(member Member) uint32 { return crc32.ChecksumIEEE([]byte(member.Incarnation)) }

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
	// first holds the name of the first relay of each zone.
	first map[string]string
}

// topology returns the present one, made anew a few times in a period. It is called
// with the mutex held.
func (g *Group) topology(now time.Time) topology {
	if now.Sub(g.linkedAt) >= g.options.Period/steps || g.isMesh() {
		g.links, g.linkedAt = g.newTopology(now), now
	}
	return g.links
}

// isMesh reports whether all daemons exchange directly. It is called with the mutex
// held.
func (g *Group) isMesh() bool { return len(g.peers) < g.options.MeshMost }

// newTopology makes a topology in which a daemon that is not heard is no relay.
func (g *Group) newTopology(now time.Time) topology {
	t := topology{self: g.options.Self, isMesh: g.isMesh()}
	if t.isMesh {
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
	return now.Sub(p.heard) < g.options.SilentAfter+g.relayDelay()
}

// isCurrent reports whether a daemon's last word is so new that the way to it is
// taken to work. It is called with the mutex held.
func (g *Group) isCurrent(p *peer, now time.Time) bool {
	return now.Sub(p.heard) < g.options.MuteAfter+g.relayDelay()
}

// relayDelay is how much older the words of other daemons are in a large group:
// two relays lie between daemons of different zones.
func (g *Group) relayDelay() time.Duration {
	if g.isMesh() {
		return 0
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

// relayed returns the digests for another daemon that are not held there. It is
// called with the mutex held.
func (g *Group) relayed(t topology, to Member, held []Held, now time.Time) []Envelope {
	var relayed []Envelope
	for _, p := range g.peers {
		if p.content == nil || !g.isCurrent(p, now) || !t.passesOn(to, p.member) {
			continue
		}
		if !slices.Contains(held, p.last) {
			relayed = append(relayed, Envelope{Held: p.last, Age: now.Sub(p.heard), Content: p.content})
		}
	}
	return relayed
}

// held names the digests that this daemon holds, for one that may pass others on.
// It is called with the mutex held.
func (g *Group) held(t topology, to Member) []Held {
	if t.isMesh || !t.relays[to.Name] {
		return nil
	}
	var held []Held
	for _, p := range g.peers {
		if p.content != nil {
			held = append(held, p.last)
		}
	}
	return held
}

// hearDigest takes over a digest that is newer than what is held of its sender.
func (g *Group) hearDigest(envelope Envelope, delay time.Duration, isDirect bool) {
	name := envelope.Held.Daemon
	if name == g.options.Self.Name || name == "" {
		return
	}
	made := g.common.Clock.Now().Add(-delay)
	if !g.isNews(envelope.Held, made, isDirect) {
		return
	}
	var digest Digest
	if err := (encoding{}).Unmarshal(envelope.Content, &digest); err != nil {
		g.common.Count("Membership.DigestsUnreadable", 1)
		g.common.Log.Error(err, "DigestUnreadable", "Daemon", name)
		return
	}
	g.note(envelope, digest, made)
	g.introduce(digest.Members)
	g.handler.Hear(digest, delay)
}

// note keeps a digest of a daemon.
func (g *Group) note(envelope Envelope, digest Digest, made time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.add(digest.Sender)
	p.heard, p.last, p.content = made, envelope.Held, envelope.Content
	p.isNew = digest.IsNew
	p.ends = make(map[string]TopicEnd, len(digest.Ends))
	for _, end := range digest.Ends {
		p.ends[end.Topic] = end
	}
}

func (g *Group) isNews(held Held, made time.Time, isDirect bool) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.peers[held.Daemon]
	return p == nil || p.isNews(held, made, isDirect)
}

// isNews reports whether a digest is newer than the last one. One of another
// start that was passed on may be that of an earlier one.
func (p *peer) isNews(held Held, made time.Time, isDirect bool) bool {
	if p.content != nil && p.last.Start == held.Start {
		return held.Sequence > p.last.Sequence
	}
	return isDirect || made.After(p.heard)
}
