package route

import "time"

// Load is the load that one daemon puts on a runner.
type Load struct {
	Runner string
	// InFlight is the number of calls in flight.
	InFlight int
	// QueuedTokens is the number of tokens to prefill for calls without a first
	// token.
	QueuedTokens int
	// PrefillTokensPerSecond is the recent rate of tokens to prefill.
	PrefillTokensPerSecond float64
}

// Digest is the load that one daemon puts on all runners. Peers exchange digests
// periodically, so a digest is slightly stale.
type Digest struct {
	// Daemon identifies the sender.
	Daemon string
	// Time is when the digest was made, by the sender's clock.
	Time  time.Time
	Loads []Load
}

// peerLoad is the last digest of a peer, indexed by slot.
type peerLoad struct {
	time  time.Time
	loads []load
}

// forget drops the load of a slot.
func (p *peerLoad) forget(slot int) {
	if slot < len(p.loads) {
		p.loads[slot] = load{}
	}
}

// OwnDigest returns the digest of this daemon's own load.
func (v *View) OwnDigest(daemon string, now time.Time) Digest {
	v.decay(now)
	digest := Digest{Daemon: daemon, Time: now}
	for i := range v.slots {
		own := &v.slots[i].own
		if v.slots[i].runner.Name == "" || (own.inFlight == 0 && own.prefillRate < 1) {
			continue
		}
		digest.Loads = append(digest.Loads, Load{
			Runner:                 v.slots[i].runner.Name,
			InFlight:               int(own.inFlight),
			QueuedTokens:           int(own.queuedTokens),
			PrefillTokensPerSecond: own.prefillRate,
		})
	}
	return digest
}

// ApplyDigest replaces the last digest of a peer. An older digest than the last one is
// ignored.
func (v *View) ApplyDigest(digest Digest) {
	peer := v.peers[digest.Daemon]
	if peer == nil {
		peer = &peerLoad{}
		v.peers[digest.Daemon] = peer
		v.updateDistances()
	}
	if digest.Time.Before(peer.time) {
		return
	}
	v.clearPeerLoads(peer)
	peer.time = digest.Time
	for _, l := range digest.Loads {
		v.applyPeerLoad(peer, l)
	}
}

// ForgetPeer drops the load of a peer that has left.
func (v *View) ForgetPeer(daemon string) {
	if peer := v.peers[daemon]; peer != nil {
		v.clearPeerLoads(peer)
		delete(v.peers, daemon)
		v.updateDistances()
	}
}

// clearPeerLoads subtracts the load of a peer's last digest from the runners.
func (v *View) clearPeerLoads(peer *peerLoad) {
	for i := range peer.loads {
		v.slots[i].peers.add(peer.loads[i], -1)
	}
	for len(peer.loads) < len(v.slots) {
		peer.loads = append(peer.loads, load{})
	}
	clear(peer.loads)
}

// applyPeerLoad adds one load of a peer's new digest. Loads of unknown runners are
// ignored.
func (v *View) applyPeerLoad(peer *peerLoad, l Load) {
	at, known := v.index[l.Runner]
	if !known {
		return
	}
	peer.loads[at] = load{
		inFlight:     float64(l.InFlight),
		queuedTokens: float64(l.QueuedTokens),
		prefillRate:  l.PrefillTokensPerSecond,
	}
	v.slots[at].peers.add(peer.loads[at], 1)
}
