package membership

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
)

// steps is the number of times in a period that calls are started, so that they
// do not come at once.
const steps = 4

func (g *Group) exchange(ctx context.Context, calls *sync.WaitGroup) {
	calls.Go(func() { g.callSeeds(ctx, calls) })
	for clock.Sleep(ctx, g.common.Clock, g.options.Period/steps) == nil {
		for _, p := range g.due() {
			calls.Go(func() { g.callPeer(ctx, p) })
		}
	}
}

// callSeeds calls the seeds from which nothing was heard yet, for as long as this
// daemon is new: all may start at once, in any order.
func (g *Group) callSeeds(ctx context.Context, calls *sync.WaitGroup) {
	for g.common.Clock.Since(g.began) < g.options.NewFor {
		for _, seed := range g.unheardSeeds() {
			calls.Go(func() { g.callAddress(ctx, Member{Address: seed}, nil) })
		}
		if clock.Sleep(ctx, g.common.Clock, g.options.Period) != nil {
			return
		}
	}
}

func (g *Group) unheardSeeds() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	heard := map[string]bool{g.options.Self.Address: true}
	for _, p := range g.peers {
		if !p.heard.IsZero() {
			heard[p.member.Address] = true
		}
	}
	var unheard []string
	for _, seed := range g.options.Seeds {
		if !heard[seed] {
			unheard = append(unheard, seed)
		}
	}
	return unheard
}

// due returns the daemons to call now: those that the topology says, and those of
// which nothing was heard for long.
func (g *Group) due() []*peer {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	links := g.topology(now)
	var due []*peer
	for _, p := range g.peers {
		isSilent := !g.isHeard(p, now)
		g.noteSilence(p, isSilent)
		period := g.period()
		if isSilent {
			period = g.options.SilentPeriod
		}
		calls := isSilent || links.calls(p.member)
		if !calls || p.calling || now.Sub(p.called) < period {
			continue
		}
		p.calling, p.called = true, now
		due = append(due, p)
	}
	return due
}

// period returns the time between two exchanges with the same daemon. It is called
// with the mutex held.
func (g *Group) period() time.Duration {
	if !g.isMesh() {
		return g.options.RelayPeriod
	}
	return max(g.options.Period, time.Duration(len(g.peers))*g.options.PeriodPerDaemon)
}

// noteSilence logs a change of belief about a daemon.
func (g *Group) noteSilence(p *peer, isSilent bool) {
	if isSilent == p.isSilent {
		return
	}
	p.isSilent = isSilent
	if isSilent {
		g.common.Log.Info("DaemonSilent", "Daemon", p.member.Name)
		return
	}
	g.common.Log.Info("DaemonHeard", "Daemon", p.member.Name)
}

func (g *Group) callPeer(ctx context.Context, p *peer) {
	g.mutex.Lock()
	member, held := p.member, p.held
	g.mutex.Unlock()
	g.callAddress(ctx, member, held)
	g.mutex.Lock()
	p.calling = false
	g.mutex.Unlock()
}

// callAddress exchanges with a daemon of which at least the address is known.
func (g *Group) callAddress(ctx context.Context, to Member, held []Held) {
	ctx, cancel := context.WithTimeout(ctx, g.options.Timeout)
	defer cancel()
	message, err := g.message(to, held, false)
	if err != nil {
		g.common.Log.Error(err, "DigestNotEncoded")
		return
	}
	began := g.common.Clock.Now()
	var theirs Message
	if err := g.client.call(ctx, to.Address, callExchange, &message, &theirs); err != nil {
		g.common.Count("Membership.CallsFailed", 1)
		return
	}
	g.hear(theirs, g.common.Clock.Since(began)/2)
}

// message returns what a daemon is told that holds some digests. Nothing is
// passed on to one whose name is not known.
func (g *Group) message(to Member, held []Held, toNew bool) (Message, error) {
	own, err := g.ownEnvelope(toNew)
	if err != nil {
		return Message{}, err
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	links := g.topology(now)
	return Message{Own: own, Relayed: g.relayed(links, to, held, now), Held: g.held(links, to)}, nil
}

// answer returns the reply to a daemon that has just been heard.
func (g *Group) answer(theirs Message) (Message, error) {
	g.mutex.Lock()
	to, isNew := Member{}, false
	if p := g.peers[theirs.Own.Held.Daemon]; p != nil {
		to, isNew = p.member, p.isNew
	}
	g.mutex.Unlock()
	return g.message(to, theirs.Held, isNew)
}

func (g *Group) ownEnvelope(toNew bool) (Envelope, error) {
	self := g.options.Self
	held := Held{Daemon: self.Name, Start: startOf(self), Sequence: g.sequence.Add(1)}
	content, err := encoding{}.Marshal(g.digest(toNew))
	return Envelope{Held: held, Content: content}, err
}

func (g *Group) digest(toNew bool) Digest {
	digest := g.handler.Digest(toNew)
	if toNew {
		digest.Members = g.members()
	}
	digest.Sender = g.options.Self
	digest.IsNew = g.common.Clock.Since(g.began) < g.options.NewFor
	digest.TimeOfDay = g.common.Clock.Now().UnixMicro()
	return digest
}

// members returns the daemons that were heard of lately.
func (g *Group) members() []Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	var members []Member
	for _, p := range g.peers {
		if g.isHeard(p, now) {
			members = append(members, p.member)
		}
	}
	return members
}

// introduce makes daemons known that were not.
func (g *Group) introduce(members []Member) {
	for _, member := range members {
		g.mutex.Lock()
		_, known := g.peers[member.Name]
		g.mutex.Unlock()
		if !known {
			g.Add(member)
		}
	}
}

// hear takes in what another daemon tells.
func (g *Group) hear(message Message, delay time.Duration) {
	g.hearDigest(message.Own, delay, true)
	for _, relayed := range message.Relayed {
		g.hearDigest(relayed, relayed.Age+delay, false)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if p := g.peers[message.Own.Held.Daemon]; p != nil {
		p.held = message.Held
	}
}

// Farewell tells all daemons a last time, so that they know all that this one
// has counted. It returns when they were told or ctx has ended.
func (g *Group) Farewell(ctx context.Context) {
	g.mutex.Lock()
	var addresses []string
	for _, p := range g.peers {
		addresses = append(addresses, p.member.Address)
	}
	g.mutex.Unlock()
	var calls sync.WaitGroup
	for _, address := range addresses {
		calls.Go(func() { g.callAddress(ctx, Member{Address: address}, nil) })
	}
	calls.Wait()
}
