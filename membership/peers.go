package membership

import (
	"context"
	"time"

	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/latest"
)

// SilentZones returns the silent zones: those that have known daemons, none of
// which is reachable.
func (g *Group) SilentZones() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	reachable := make(map[string]bool)
	for _, p := range g.peers {
		if g.isReachable(p, now) {
			reachable[p.member.Zone] = true
		} else if !reachable[p.member.Zone] {
			reachable[p.member.Zone] = false
		}
	}
	var silent []string
	for zone, isReachable := range reachable {
		if !isReachable {
			silent = append(silent, zone)
		}
	}
	return silent
}

// HeardWithin returns the daemons, except this one, that were heard within a time or became known
// within it.
func (g *Group) HeardWithin(period time.Duration) []Member {
	return g.heardSince(g.common.Clock.Now().Add(-period))
}

// heardSince returns the daemons that were heard since a time, or became known since then.
func (g *Group) heardSince(since time.Time) []Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var members []Member
	for _, p := range g.peers {
		if !p.addedAt.Before(since) || !p.digestMadeAt.Before(since) {
			members = append(members, p.member)
		}
	}
	return members
}

// storeReaders is the number of daemons that read the store for the others. One is
// enough, since the others detect its failure by the age of their copies.
const storeReaders = 1

// ReadsForOthers implements feed.Peers: the first storeReaders daemons by rank
// among those that are alive read the store.
func (g *Group) ReadsForOthers() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	before := 0
	for _, p := range g.peers {
		if byRank(p.member, g.options.Self) < 0 && g.isAlive(p, now) {
			before++
		}
	}
	return before < storeReaders
}

// Newest implements feed.Peers.
func (g *Group) Newest(topic string) (feed.TopicState, bool) {
	_, state, found := g.bestSource(topic)
	return state, found
}

// bestSource returns the address of the daemon whose copy of a topic has the highest
// end, and the state of that copy. Among copies with the same end, it selects the one
// with the lowest age.
func (g *Group) bestSource(topic string) (address string, best feed.TopicState, found bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	for _, p := range g.peers {
		end, reported := p.topicEnds[topic]
		failedRecently := now.Sub(p.readFailedAt) < g.options.DownRetryPeriod
		if !reported || failedRecently || !g.isReachable(p, now) {
			continue
		}
		// The difference of times does not overflow, unlike the sum of durations: the age of a copy that was
		// never read is the longest possible duration.
		known := feed.TopicState{End: end.End, Age: now.Sub(p.digestMadeAt.Add(-end.Age))}
		order := known.End.Compare(best.End)
		if !found || order > 0 || order == 0 && known.Age < best.Age {
			address, best, found = p.member.Address, known, true
		}
	}
	return address, best, found
}

// Records implements feed.Peers: it reads a topic from the best source.
func (g *Group) Records(ctx context.Context, topic string, from latest.Position) (latest.Extract, time.Duration, error) {
	address, _, found := g.bestSource(topic)
	if !found {
		return latest.Extract{}, 0, &NoPeerError{Topic: topic}
	}
	return g.recordsAt(ctx, address, topic, from)
}

// ReaderRecords implements feed.Peers: it reads a topic from the first of the daemons that read the
// store for others.
func (g *Group) ReaderRecords(ctx context.Context, topic string, from latest.Position) (latest.Extract, time.Duration, error) {
	address, found := g.storeReader()
	if !found {
		return latest.Extract{}, 0, &NoPeerError{Topic: topic}
	}
	return g.recordsAt(ctx, address, topic, from)
}

// storeReader returns the address of the first daemon by rank that is alive; false if it is this one, or
// if a read from it has just failed.
func (g *Group) storeReader() (address string, found bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	first, readFailed := g.options.Self, false
	for _, p := range g.peers {
		if byRank(p.member, first) < 0 && g.isAlive(p, now) {
			first, readFailed = p.member, now.Sub(p.readFailedAt) < g.options.DownRetryPeriod
		}
	}
	return first.Address, first.Name != g.options.Self.Name && !readFailed
}

// recordsAt reads a topic from the daemon at an address.
func (g *Group) recordsAt(ctx context.Context, address, topic string, from latest.Position) (latest.Extract, time.Duration, error) {
	var reply RecordsReply
	if err := g.client.call(ctx, address, callRecords, &RecordsRequest{Topic: topic, From: from}, &reply); err != nil {
		g.markReadFailed(address)
		return latest.Extract{}, 0, err
	}
	return reply.Extract, reply.Age, nil
}

// Configuration returns the record of the configuration in force at another daemon. It
// fails with a *CallError.
func (g *Group) Configuration(ctx context.Context, from Member) (latest.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, g.options.Timeout)
	defer cancel()
	var reply ConfigurationReply
	if err := g.client.call(ctx, from.Address, callConfiguration, &ConfigurationRequest{}, &reply); err != nil {
		return latest.Record{}, err
	}
	return reply.Record, nil
}

// markReadFailed excludes a daemon as a source of records for DownRetryPeriod: a
// daemon whose digests arrive through relays may not be reachable directly.
func (g *Group) markReadFailed(address string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, p := range g.peers {
		if p.member.Address == address {
			p.readFailedAt = g.common.Clock.Now()
		}
	}
}
