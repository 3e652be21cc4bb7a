package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
)

// ticksPerPeriod is the number of times per period that due calls are started, so
// that calls are spread over the period.
const ticksPerPeriod = 4

func (g *Group) runExchanges(ctx context.Context, calls *sync.WaitGroup) {
	calls.Go(func() { g.callSeeds(ctx, calls) })
	for clock.Sleep(ctx, g.common.Clock, g.options.Period/ticksPerPeriod) == nil {
		for _, p := range g.peersDue() {
			calls.Go(func() { g.callPeer(ctx, p) })
		}
	}
}

// callSeeds calls the seeds from which no digest has arrived yet, throughout the
// startup period: all daemons may start at once, in any order. Afterwards it calls them as
// long as no other daemon is alive, since nobody else may know of this one.
func (g *Group) callSeeds(ctx context.Context, calls *sync.WaitGroup) {
	for {
		for _, seed := range g.seedsToCall() {
			calls.Go(func() { g.callAddress(ctx, Member{Address: seed}, nil) })
		}
		if clock.Sleep(ctx, g.common.Clock, g.seedPeriod()) != nil {
			return
		}
	}
}

// seedPeriod returns the time between two calls of the seeds.
func (g *Group) seedPeriod() time.Duration {
	if g.isNew() {
		return g.options.Period
	}
	return g.options.DownRetryPeriod
}

func (g *Group) seedsToCall() []string {
	if !g.isNew() && g.hasLivePeer() {
		return nil
	}
	return g.uncontactedSeeds()
}

// hasLivePeer reports whether another daemon is alive.
func (g *Group) hasLivePeer() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	for _, p := range g.peers {
		if g.isAlive(p, now) {
			return true
		}
	}
	return false
}

func (g *Group) uncontactedSeeds() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	contacted := map[string]bool{g.options.Self.Address: true}
	for _, p := range g.peers {
		if !p.digestMadeAt.IsZero() {
			contacted[p.member.Address] = true
		}
	}
	var uncontacted []string
	for _, seed := range g.options.Seeds {
		if !contacted[seed] {
			uncontacted = append(uncontacted, seed)
		}
	}
	return uncontacted
}

// peersDue returns the daemons to call now: those that this daemon calls in the
// topology, and those that are down. It marks them as being called.
func (g *Group) peersDue() []*peer {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	topo := g.currentTopology(now)
	var due []*peer
	for _, p := range g.peers {
		isDown := !g.isAlive(p, now)
		g.setDown(p, isDown)
		period := g.period()
		if isDown {
			period = g.options.DownRetryPeriod
		}
		calls := isDown || topo.initiates(p.member)
		if !calls || p.callInFlight || now.Sub(p.calledAt) < period {
			continue
		}
		p.callInFlight, p.calledAt = true, now
		if !isDown && !p.isSpread && period > g.options.Period {
			p.isSpread, p.calledAt = true, now.Add(-randomPart(period))
		}
		due = append(due, p)
	}
	return due
}

// randomPart returns a random part of a period. The calls of a large group are shifted by it,
// once: daemons that make all their calls at the same moment get all reports at the same
// moment, and react to them at the same moment.
func randomPart(period time.Duration) time.Duration {
	return time.Duration(rand.Float64() * float64(period))
}

// period returns the time between two exchanges with the same daemon. For a daemon
// that is down, DownRetryPeriod applies instead. It is called with the mutex held.
func (g *Group) period() time.Duration {
	if !g.isFullMesh() {
		return g.options.RelayPeriod
	}
	return max(g.options.Period, time.Duration(len(g.peers))*g.options.PeriodPerDaemon)
}

// setDown records whether a daemon is down, and logs a change. It is called with
// the mutex held.
func (g *Group) setDown(p *peer, isDown bool) {
	if isDown == p.isDown {
		return
	}
	p.isDown = isDown
	if isDown {
		g.common.Log.Info("DaemonSilent", "Daemon", p.member.Name)
		return
	}
	g.common.Log.Info("DaemonHeard", "Daemon", p.member.Name)
}

func (g *Group) callPeer(ctx context.Context, p *peer) {
	g.mutex.Lock()
	member, held := p.member, p.heldDigests
	g.mutex.Unlock()
	g.callAddress(ctx, member, held)
	g.mutex.Lock()
	p.callInFlight = false
	g.mutex.Unlock()
}

// callAddress exchanges digests with a daemon of which possibly only the address is
// known. It estimates the delay of the reply as half of the round trip. It reports whether
// the daemon replied.
func (g *Group) callAddress(ctx context.Context, to Member, held []DigestID) bool {
	ctx, cancel := context.WithTimeout(ctx, g.options.Timeout)
	defer cancel()
	message, err := g.buildMessage(to, held, false)
	if err != nil {
		g.common.Log.Error(err, "DigestNotEncoded")
		return false
	}
	message.WantsState = g.beginStateRequest()
	began := g.common.Clock.Now()
	var reply Message
	if err := g.client.call(ctx, to.Address, callExchange, &message, &reply); err != nil {
		g.common.Count("Membership.CallsFailed", 1)
		g.withdrawStateRequest(message.WantsState)
		return false
	}
	if reply.IsNew {
		g.withdrawStateRequest(message.WantsState)
	}
	g.receive(reply, g.common.Clock.Since(began)/2)
	return true
}

// isNew reports whether this daemon has just started.
func (g *Group) isNew() bool { return g.common.Clock.Since(g.startedAt) < g.options.StartupPeriod }

// beginStateRequest reports whether the next call asks for collected state: this daemon
// has just started, and not enough others have sent theirs, or nobody has until now.
func (g *Group) beginStateRequest() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	isEnough := g.stateReplies >= g.options.MaxStateReplies
	if isEnough || !g.isNew() && g.stateReplies > 0 {
		return false
	}
	g.stateReplies++
	return true
}

// withdrawStateRequest takes back the request of a call that has failed, or whose receiver
// is new too.
func (g *Group) withdrawStateRequest(wasRequested bool) {
	if !wasRequested {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stateReplies--
}

// buildMessage returns the message for a daemon that already has the digests in
// held. No digests are relayed to a daemon whose name is not known.
func (g *Group) buildMessage(to Member, held []DigestID, toNew bool) (Message, error) {
	own, err := g.ownEnvelope(toNew)
	if err != nil {
		return Message{}, err
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	topo := g.currentTopology(now)
	return Message{Own: own, Relayed: g.digestsToRelay(topo, to, held, now), HeldDigests: g.heldDigests(topo, to), IsNew: g.isNew()}, nil
}

// buildReply returns the reply to a message that has just been received.
func (g *Group) buildReply(request Message) (Message, error) {
	g.mutex.Lock()
	to := Member{}
	if p := g.peers[request.Own.ID.Daemon]; p != nil {
		to = p.member
	}
	g.mutex.Unlock()
	return g.buildMessage(to, request.HeldDigests, request.WantsState)
}

func (g *Group) ownEnvelope(toNew bool) (Envelope, error) {
	self := g.options.Self
	id := DigestID{Daemon: self.Name, IncarnationChecksum: incarnationChecksum(self), Sequence: g.sequence.Add(1)}
	content, err := encoding{}.Marshal(g.digest(toNew))
	return Envelope{ID: id, Content: content}, err
}

func (g *Group) digest(toNew bool) Digest {
	digest := g.handler.Digest(toNew)
	if toNew {
		digest.Members = g.members()
	}
	digest.Sender = g.options.Self
	digest.TimeOfDay = g.common.Clock.Now().UnixMicro()
	return digest
}

// members returns the daemons that are alive, without this one.
func (g *Group) members() []Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	var members []Member
	for _, p := range g.peers {
		if g.isAlive(p, now) {
			members = append(members, p.member)
		}
	}
	return members
}

// addUnknown adds the daemons that are not known yet.
func (g *Group) addUnknown(members []Member) {
	for _, member := range members {
		g.mutex.Lock()
		_, known := g.peers[member.Name]
		g.mutex.Unlock()
		if !known {
			g.Add(member)
		}
	}
}

// receive applies a message of another daemon.
func (g *Group) receive(message Message, delay time.Duration) {
	g.receiveDigest(message.Own, delay, true)
	for _, relayed := range message.Relayed {
		g.receiveDigest(relayed, relayed.Age+delay, false)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if p := g.peers[message.Own.ID.Daemon]; p != nil {
		p.heldDigests = message.HeldDigests
	}
}
