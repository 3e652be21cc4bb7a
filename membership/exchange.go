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
			calls.Go(func() { g.callAddress(ctx, seed) })
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

// due returns the daemons to call now. Of two daemons the one with the lower
// name calls; the other one does when it has heard nothing for long.
func (g *Group) due() []*peer {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	var due []*peer
	for _, p := range g.peers {
		isSilent := now.Sub(p.heard) > g.options.SilentAfter
		g.noteSilence(p, isSilent)
		period := g.options.Period
		if isSilent {
			period = g.options.SilentPeriod
		}
		calls := isSilent || g.options.Self.Name < p.member.Name
		if !calls || p.calling || now.Sub(p.called) < period {
			continue
		}
		p.calling, p.called = true, now
		due = append(due, p)
	}
	return due
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
	address := p.member.Address
	g.mutex.Unlock()
	g.callAddress(ctx, address)
	g.mutex.Lock()
	p.calling = false
	g.mutex.Unlock()
}

func (g *Group) callAddress(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, g.options.Timeout)
	defer cancel()
	began := g.common.Clock.Now()
	own := g.digest(false)
	var theirs Digest
	if err := g.client.call(ctx, address, callExchange, &own, &theirs); err != nil {
		g.common.Count("Membership.CallsFailed", 1)
		return
	}
	g.hear(theirs, g.common.Clock.Since(began)/2)
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
		if now.Sub(p.heard) < g.options.SilentAfter {
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

func (g *Group) hear(digest Digest, delay time.Duration) {
	if digest.Sender.Name == g.options.Self.Name || digest.Sender.Name == "" {
		return
	}
	ends := make(map[string]TopicEnd, len(digest.Ends))
	for _, end := range digest.Ends {
		ends[end.Topic] = end
	}
	g.mutex.Lock()
	p := g.add(digest.Sender)
	p.heard, p.ends = g.common.Clock.Now(), ends
	g.mutex.Unlock()
	g.introduce(digest.Members)
	g.handler.Hear(digest, delay)
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
		calls.Go(func() { g.callAddress(ctx, address) })
	}
	calls.Wait()
}
