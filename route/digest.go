package route

import "time"

// Load is what one daemon has in flight at a runner.
type Load struct {
	Runner string
	// InFlight counts the calls.
	InFlight int
	// QueuedTokens counts the prompt tokens of calls without a first token.
	QueuedTokens int
	// PrefillTokensPerSecond is the recent rate of tokens to prefill.
	PrefillTokensPerSecond float64
}

// Digest is the load that one daemon puts on the runners. Peers exchange
// digests, so a digest is old when it arrives.
type Digest struct {
	// Daemon identifies the sender.
	Daemon string
	// Time is when the digest was made, by the sender's clock.
	Time  time.Time
	Loads []Load
}

// peerLoad is the last digest of a peer by slot.
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

// Report returns the digest of this daemon's own load.
func (v *View) Report(daemon string, now time.Time) Digest {
	v.decay(now)
	digest := Digest{Daemon: daemon, Time: now}
	for i := range v.slots {
		own := &v.slots[i].own
		if v.slots[i].runner.Name == "" || (own.streams == 0 && own.rate < 1) {
			continue
		}
		digest.Loads = append(digest.Loads, Load{
			Runner:                 v.slots[i].runner.Name,
			InFlight:               int(own.streams),
			QueuedTokens:           int(own.queued),
			PrefillTokensPerSecond: own.rate,
		})
	}
	return digest
}

// Digest takes the digest of a peer in place of its last one. A digest that
// is older than the last one is ignored.
func (v *View) Digest(digest Digest) {
	peer := v.peers[digest.Daemon]
	if peer == nil {
		peer = &peerLoad{}
		v.peers[digest.Daemon] = peer
		v.arrange()
	}
	if digest.Time.Before(peer.time) {
		return
	}
	v.withdraw(peer)
	peer.time = digest.Time
	for _, l := range digest.Loads {
		v.apply(peer, l)
	}
}

// ForgetPeer drops the load of a peer that has left.
func (v *View) ForgetPeer(daemon string) {
	if peer := v.peers[daemon]; peer != nil {
		v.withdraw(peer)
		delete(v.peers, daemon)
		v.arrange()
	}
}

// withdraw takes the load of a peer's last digest off the runners.
func (v *View) withdraw(peer *peerLoad) {
	for i := range peer.loads {
		v.slots[i].peers.add(peer.loads[i], -1)
	}
	for len(peer.loads) < len(v.slots) {
		peer.loads = append(peer.loads, load{})
	}
	clear(peer.loads)
}

// apply adds one load of a peer's new digest.
func (v *View) apply(peer *peerLoad, l Load) {
	at, known := v.index[l.Runner]
	if !known {
		return
	}
	peer.loads[at] = load{
		streams: float64(l.InFlight),
		queued:  float64(l.QueuedTokens),
		rate:    l.PrefillTokensPerSecond,
	}
	v.slots[at].peers.add(peer.loads[at], 1)
}
