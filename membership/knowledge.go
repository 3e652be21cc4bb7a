package membership

import (
	"context"
	"time"

	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/latest"
)

// MuteZones returns the zones that have daemons of which none is heard.
func (g *Group) MuteZones() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	heard := make(map[string]bool)
	for _, p := range g.peers {
		if g.isCurrent(p, now) {
			heard[p.member.Zone] = true
		} else if !heard[p.member.Zone] {
			heard[p.member.Zone] = false
		}
	}
	var mute []string
	for zone, isHeard := range heard {
		if !isHeard {
			mute = append(mute, zone)
		}
	}
	return mute
}

// readers is the number of daemons that read the store for the others, who notice
// by the age of what they hold when it does not.
const readers = 1

// ReadsForOthers implements feed.Peers: the first daemons by rank among those that
// are heard read the store.
func (g *Group) ReadsForOthers() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	before := 0
	for _, p := range g.peers {
		if byRank(p.member, g.options.Self) < 0 && g.isHeard(p, now) {
			before++
		}
	}
	return before < readers
}

// Newest implements feed.Peers.
func (g *Group) Newest(topic string) (feed.Knowledge, bool) {
	_, knowledge, found := g.newest(topic)
	return knowledge, found
}

// newest returns the daemon that knows most of a topic and, of several, the one
// that read it last.
func (g *Group) newest(topic string) (address string, best feed.Knowledge, found bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	for _, p := range g.peers {
		end, told := p.ends[topic]
		isCut := now.Sub(p.unreachable) < g.options.SilentPeriod
		if !told || isCut || !g.isCurrent(p, now) {
			continue
		}
		known := feed.Knowledge{End: end.End, Age: end.Age + now.Sub(p.heard)}
		if !found || known.End > best.End || known.End == best.End && known.Age < best.Age {
			address, best, found = p.member.Address, known, true
		}
	}
	return address, best, found
}

// Records implements feed.Peers: it reads a topic at the daemon that knows most
// of it.
func (g *Group) Records(ctx context.Context, topic string, from uint64) (latest.Extract, time.Duration, error) {
	address, _, found := g.newest(topic)
	if !found {
		return latest.Extract{}, 0, &NoPeerError{Topic: topic}
	}
	var reply RecordsReply
	if err := g.client.call(ctx, address, callRecords, &RecordsRequest{Topic: topic, From: from}, &reply); err != nil {
		g.noteUnreachable(address)
		return latest.Extract{}, 0, err
	}
	return reply.Extract, reply.Age, nil
}

// noteUnreachable makes other daemons be asked for records for a while: one that
// is heard through relays may not be reached directly.
func (g *Group) noteUnreachable(address string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, p := range g.peers {
		if p.member.Address == address {
			p.unreachable = g.common.Clock.Now()
		}
	}
}
