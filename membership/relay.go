package membership

import (
	"hash/crc32"
	"slices"
	"time"
)

// Message is the request and the reply of an exchange between two daemons.
type Message struct {
	// Own holds the digest of the sender.
	Own Envelope
	// Relayed holds the digests of other daemons.
	Relayed []Envelope
	// HeldDigests identifies the newest digest that the sender has of each
	// daemon, so that it is not sent again. It is empty while all daemons
	// exchange directly.
	HeldDigests []DigestID
	// WantsState is true if the sender has just started and asks for the state that the
	// receiver has collected from other daemons.
	WantsState bool
	// IsNew is true if the sender has just started, so that its state may lack what
	// others have collected.
	IsNew bool
}

// Envelope carries the encoded digest of one daemon. Relays forward it without
// encoding it again.
type Envelope struct {
	ID DigestID
	// Age is how long ago the daemon made the digest.
	Age time.Duration
	// Content is the encoded Digest.
	Content []byte
}

// DigestID identifies one digest.
type DigestID struct {
	Daemon string
	// IncarnationChecksum is the CRC-32 of the incarnation.
	IncarnationChecksum uint32
	// Sequence increases with each digest of the incarnation; it is never zero.
	Sequence uint64
}

// incarnationChecksum returns the checksum of a member's incarnation.
func incarnationChecksum(member Member) uint32 { return crc32.ChecksumIEEE([]byte(member.Incarnation)) }

// digestsToRelay returns the digests to forward to another daemon, except those in
// held, which that daemon already has. It is called with the mutex held.
func (g *Group) digestsToRelay(t topology, to Member, held []DigestID, now time.Time) []Envelope {
	var relayed []Envelope
	for _, p := range g.peers {
		if p.digestContent == nil || !g.isReachable(p, now) || !t.forwards(to, p.member) {
			continue
		}
		if !slices.Contains(held, p.digestID) {
			relayed = append(relayed, Envelope{ID: p.digestID, Age: now.Sub(p.digestMadeAt), Content: p.digestContent})
		}
	}
	return relayed
}

// heldDigests returns the IDs of the digests that this daemon has, or nil in a full
// mesh or if the receiver is not a relay. It is called with the mutex held.
func (g *Group) heldDigests(t topology, to Member) []DigestID {
	if t.isFullMesh || !t.relays[to.Name] {
		return nil
	}
	var held []DigestID
	for _, p := range g.peers {
		if p.digestContent != nil {
			held = append(held, p.digestID)
		}
	}
	return held
}

// receiveDigest applies a digest if it is newer than the last one stored for its sender.
func (g *Group) receiveDigest(envelope Envelope, delay time.Duration, isDirect bool) {
	name := envelope.ID.Daemon
	if name == g.options.Self.Name || name == "" {
		return
	}
	made := g.common.Clock.Now().Add(-delay)
	if !g.isNewerDigest(envelope.ID, made, isDirect) {
		return
	}
	var digest Digest
	if err := (encoding{}).Unmarshal(envelope.Content, &digest); err != nil {
		g.common.Count("Membership.DigestsUnreadable", 1)
		g.common.Log.Error(err, "DigestUnreadable", "Daemon", name)
		return
	}
	g.storeDigest(envelope, digest, made)
	g.addUnknown(digest.Members)
	g.handler.ApplyDigest(digest, delay)
}

// storeDigest records a digest as the newest one of its sender.
func (g *Group) storeDigest(envelope Envelope, digest Digest, made time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.add(digest.Sender)
	p.digestMadeAt, p.digestID, p.digestContent = made, envelope.ID, envelope.Content
	p.topicEnds = make(map[string]TopicEnd, len(digest.Ends))
	for _, end := range digest.Ends {
		p.topicEnds[end.Topic] = end
	}
}

func (g *Group) isNewerDigest(id DigestID, made time.Time, isDirect bool) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.peers[id.Daemon]
	return p == nil || p.isNewerDigest(id, made, isDirect)
}

// isNewerDigest reports whether a digest is newer than the stored one. A relayed
// digest of another incarnation may come from an earlier process, so it must also
// have been made later; a direct one always comes from the current process.
func (p *peer) isNewerDigest(id DigestID, made time.Time, isDirect bool) bool {
	if p.digestContent != nil && p.digestID.IncarnationChecksum == id.IncarnationChecksum {
		return id.Sequence > p.digestID.Sequence
	}
	return isDirect || made.After(p.digestMadeAt)
}
