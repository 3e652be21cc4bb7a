package membership

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcserver"

	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Options sets how daemons exchange.
type Options struct {
	Self Member
	// Seeds are addresses of daemons that may be stale.
	Seeds []string
	// MeshMost is the number of daemons up to which all exchange directly.
	MeshMost int
	// TellMost is the number of daemons up to which one tells news to all.
	TellMost int
	// Period is the time between two exchanges with the same daemon. It grows
	// to PeriodPerDaemon for each daemon, so that a daemon of a large group
	// exchanges no more often in all.
	Period, PeriodPerDaemon time.Duration
	// RelayPeriod is that time in a group with relays.
	RelayPeriod time.Duration
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
		Self: self, Seeds: seeds, MeshMost: 100, TellMost: 16,
		Period: 400 * time.Millisecond, PeriodPerDaemon: 12500 * time.Microsecond, RelayPeriod: 200 * time.Millisecond,
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
	// news holds what is to be told.
	news chan outgoing
	// sequence is that of the last digest.
	sequence atomic.Uint64

	mutex sync.Mutex
	// peers holds the other daemons by name; guarded by mutex.
	peers map[string]*peer
	// links is the topology of the time linkedAt; guarded by mutex.
	links    topology
	linkedAt time.Time
}

// peer is what is known of another daemon.
type peer struct {
	member Member
	// heard is when the daemon made the last digest that is known of it.
	heard time.Time
	// last names that digest, and content is its encoding; nil before the first.
	last    Held
	content []byte
	// isNew is true while the daemon said that it has just started.
	isNew bool
	// held is what the daemon said it holds.
	held   []Held
	called time.Time
	// unreachable is when a call for records last failed.
	unreachable time.Time
	// calling is true while a call is under way.
	calling bool
	ends    map[string]TopicEnd
	// isTold is true while the daemon is being told of news.
	isTold bool
	// isSilent is true when the daemon was noted as lost.
	isSilent bool
}

// New returns a group of one daemon, which does nothing before Run.
func New(common telemetry.Common, options Options, handler Handler) *Group {
	return &Group{
		common: common, options: options, handler: handler,
		client: newClient(options.DialTimeout), done: make(chan struct{}), peers: make(map[string]*peer),
		began: common.Clock.Now(), news: make(chan outgoing, mostNews),
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
	duties.Go(func() { g.tellNews(ctx, &duties) })
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

// Known returns the number of daemons that are known, with this one.
func (g *Group) Known() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.peers) + 1
}

// SetSeeds replaces the addresses that are called at the start.
func (g *Group) SetSeeds(seeds []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.options.Seeds = seeds
}
