package membership

import (
	"hash/crc32"
	"slices"
	"time"
)

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
