package membership

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcserver"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Options sets how daemons exchange.
type Options struct {
	Self Member
	// Seeds are addresses of daemons that may be stale.
	Seeds []string
	// Period is the time between two exchanges with the same daemon.
	Period time.Duration
	// Timeout bounds a call, and DialTimeout the opening of a connection.
	Timeout, DialTimeout time.Duration
	// SilentAfter is the age of a daemon's last word after which it is silent.
	SilentAfter time.Duration
	// MuteAfter is the time without a word of any daemon of a zone after which
	// the zone is mute. Two words are missed by then.
	MuteAfter time.Duration
	// SilentPeriod is the time between two calls of a silent daemon.
	SilentPeriod time.Duration
	// NewFor is how long after its start a daemon is told what others heard.
	NewFor time.Duration
}

// DefaultOptions returns the defaults of a daemon.
func DefaultOptions(self Member, seeds []string) Options {
	return Options{
		Self: self, Seeds: seeds, Period: 400 * time.Millisecond,
		Timeout: 600 * time.Millisecond, DialTimeout: 300 * time.Millisecond,
		SilentAfter: 1500 * time.Millisecond, MuteAfter: time.Second, SilentPeriod: time.Second, NewFor: 2 * time.Second,
	}
}

// Group is a daemon's part in the exchange between all daemons.
type Group struct {
	common  telemetry.Common
	options Options
	handler Handler
	client  *client
	done    chan struct{}
	began   time.Time

	listener net.Listener

	mutex sync.Mutex
	// peers holds the other daemons by name; guarded by mutex.
	peers map[string]*peer
}

// peer is what is known of another daemon.
type peer struct {
	member Member
	heard  time.Time
	called time.Time
	// calling is true while a call is under way.
	calling bool
	ends    map[string]TopicEnd
	// isSilent is true when the daemon was noted as lost.
	isSilent bool
}

// New returns a group of one daemon, which does nothing before Run.
func New(common telemetry.Common, options Options, handler Handler) *Group {
	return &Group{
		common: common, options: options, handler: handler,
		client: newClient(options.DialTimeout), done: make(chan struct{}), peers: make(map[string]*peer),
		began: common.Clock.Now(),
	}
}

// Done is closed by Run when it returns.
func (g *Group) Done() <-chan struct{} { return g.done }

// Listen binds the address for other daemons. It fails with a *ListenError.
func (g *Group) Listen() error {
	listener, err := net.Listen("tcp", g.options.Self.Address)
	if err != nil {
		return &ListenError{Address: g.options.Self.Address, Cause: err}
	}
	g.listener = listener
	return nil
}

// Run answers and calls other daemons until ctx ends.
func (g *Group) Run(ctx context.Context) {
	defer close(g.done)
	defer g.client.close()
	var duties sync.WaitGroup
	duties.Go(func() {
		if err := drpcserver.New(server{group: g}).Serve(ctx, g.listener); err != nil && ctx.Err() == nil {
			g.common.Log.Error(err, "PeerListenerEnded")
		}
	})
	duties.Go(func() { g.exchange(ctx, &duties) })
	duties.Wait()
}

// Add makes a daemon known. A newer start replaces an earlier one.
func (g *Group) Add(member Member) {
	if member.Name == g.options.Self.Name || member.Name == "" {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.add(member)
}

func (g *Group) add(member Member) *peer {
	held := g.peers[member.Name]
	if held == nil {
		held = &peer{}
		g.peers[member.Name] = held
	}
	held.member = member
	return held
}

// Size returns the number of daemons that were heard of lately, with this one.
func (g *Group) Size() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	size := 1
	for _, p := range g.peers {
		if now.Sub(p.heard) < g.options.SilentAfter {
			size++
		}
	}
	return size
}

// MuteZones returns the zones that have daemons of which none is heard.
func (g *Group) MuteZones() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	heard := make(map[string]bool)
	for _, p := range g.peers {
		if now.Sub(p.heard) < g.options.MuteAfter {
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

// Known returns the number of daemons that are known, with this one.
func (g *Group) Known() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.peers) + 1
}

// readers is the number of daemons that read the store for the others, who notice
// by the age of what they hold when it does not.
const readers = 1

// ReadsForOthers implements feed.Peers: the daemons with the lowest names among
// those that are heard read the store.
func (g *Group) ReadsForOthers() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.common.Clock.Now()
	lower := 0
	for name, p := range g.peers {
		if name < g.options.Self.Name && now.Sub(p.heard) < g.options.SilentAfter {
			lower++
		}
	}
	return lower < readers
}

// SetSeeds replaces the addresses that are called at the start.
func (g *Group) SetSeeds(seeds []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.options.Seeds = seeds
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
		since := now.Sub(p.heard)
		if !told || since >= g.options.MuteAfter {
			continue
		}
		known := feed.Knowledge{End: end.End, Age: end.Age + since}
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
		return latest.Extract{}, 0, err
	}
	return reply.Extract, reply.Age, nil
}

// steps is the number of times in a period that calls are started, so that they
// do not come at once.
const steps = 4

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

func (g *Group) exchange(ctx context.Context, calls *sync.WaitGroup) {
	for _, seed := range g.options.Seeds {
		if seed != g.options.Self.Address {
			calls.Go(func() { g.callAddress(ctx, seed) })
		}
	}
	for clock.Sleep(ctx, g.common.Clock, g.options.Period/steps) == nil {
		for _, p := range g.due() {
			calls.Go(func() { g.callPeer(ctx, p) })
		}
	}
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
