package membership

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcserver"

	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Options configures a Group.
type Options struct {
	Self Member
	// Seeds are addresses of daemons, which may be stale.
	Seeds []string
	// MaxFullMesh is the number of daemons up to which all exchange directly.
	MaxFullMesh int
	// MaxDirectBroadcast is the number of daemons up to which one sends its
	// updates to all others itself.
	MaxDirectBroadcast int
	// Period is the time between two exchanges with the same daemon. In a large
	// full mesh it grows to PeriodPerDaemon times the number of daemons, which
	// bounds the total rate of a daemon's exchanges.
	Period, PeriodPerDaemon time.Duration
	// RelayPeriod replaces Period in a group with relays.
	RelayPeriod time.Duration
	// Timeout bounds a call, and DialTimeout the opening of a connection.
	Timeout, DialTimeout time.Duration
	// DownAfter is the age of a daemon's last digest after which the daemon is
	// presumed to be down.
	DownAfter time.Duration
	// UnreachableAfter is the age of a daemon's last digest after which the path
	// to it is presumed to be broken. A zone is silent when the paths to all its
	// daemons are presumed to be broken. By that age two digests are missed.
	UnreachableAfter time.Duration
	// DownRetryPeriod is the time between two calls of a daemon that is down.
	DownRetryPeriod time.Duration
	// StartupPeriod is how long after its start a daemon counts as new: it calls
	// the seeds, and asks other daemons for the state that they have collected.
	StartupPeriod time.Duration
	// MaxStateReplies is the number of daemons that send their collected state to a new
	// daemon. Each holds nearly the same, and its size grows with their number.
	MaxStateReplies int
	// Limit wraps the listener for calls of other daemons, to bound its connections; nil does not.
	Limit func(net.Listener) net.Listener
}

// DefaultOptions returns the defaults of a daemon.
func DefaultOptions(self Member, seeds []string) Options {
	return Options{
		Self: self, Seeds: seeds, MaxFullMesh: 100, MaxDirectBroadcast: 16,
		Period: 400 * time.Millisecond, PeriodPerDaemon: 12500 * time.Microsecond, RelayPeriod: 200 * time.Millisecond,
		Timeout: 600 * time.Millisecond, DialTimeout: 300 * time.Millisecond,
		DownAfter: 1500 * time.Millisecond, UnreachableAfter: time.Second, DownRetryPeriod: time.Second, StartupPeriod: 2 * time.Second,
		MaxStateReplies: 4,
	}
}

// Group exchanges digests and updates with the other daemons.
type Group struct {
	common    telemetry.Common
	options   Options
	handler   Handler
	client    *client
	done      chan struct{}
	startedAt time.Time

	listener net.Listener
	// updates holds the updates to send.
	updates chan outgoingUpdate
	// sequence is the number of this daemon's last digest.
	sequence atomic.Uint64

	mutex sync.Mutex
	// peers holds the other daemons by name; guarded by mutex.
	peers map[string]*peer
	// stateReplies counts the daemons that have sent their collected state, and those
	// that are being asked for it; guarded by mutex.
	stateReplies int
	// cachedTopology was computed at cachedTopologyAt; guarded by mutex.
	cachedTopology   topology
	cachedTopologyAt time.Time
}

// peer is the state of another daemon.
type peer struct {
	member Member
	// addedAt is when the daemon became known.
	addedAt time.Time
	// digestMadeAt is when the daemon made the newest digest that has arrived.
	digestMadeAt time.Time
	// digestID identifies that digest, and digestContent is its encoding; nil
	// before the first one.
	digestID      DigestID
	digestContent []byte
	// heldDigests identifies the digests that the daemon reports to hold.
	heldDigests []DigestID
	calledAt    time.Time
	// isSpread is true once the time of the calls was shifted at random.
	isSpread bool
	// readFailedAt is when a call for records last failed.
	readFailedAt time.Time
	// callInFlight is true while a call of runExchanges is in progress.
	callInFlight bool
	topicEnds    map[string]TopicEnd
	// updateInFlight is true while an update is being sent to the daemon, and
	// pendingUpdates are those that wait for its end.
	updateInFlight bool
	pendingUpdates []feed.Update
	// isDown is true while the daemon is presumed to be down.
	isDown bool
}

// New returns a group of one daemon, which does nothing before Run.
func New(common telemetry.Common, options Options, handler Handler) *Group {
	return &Group{
		common: common, options: options, handler: handler,
		client: newClient(options.DialTimeout), done: make(chan struct{}), peers: make(map[string]*peer),
		startedAt: common.Clock.Now(), updates: make(chan outgoingUpdate, updateQueueSize),
	}
}

// Done is closed by Run when it returns.
func (g *Group) Done() <-chan struct{} { return g.done }

// Listen binds the address for calls of other daemons. It fails with a
// *ListenError.
func (g *Group) Listen() error {
	listener, err := net.Listen("tcp", g.options.Self.Address)
	if err != nil {
		return &ListenError{Address: g.options.Self.Address, Cause: err}
	}
	g.listener = listener
	if g.options.Limit != nil {
		g.listener = g.options.Limit(listener)
	}
	return nil
}

// Run serves the calls of other daemons, and calls them, until ctx ends.
func (g *Group) Run(ctx context.Context) {
	defer close(g.done)
	defer g.client.close()
	var tasks sync.WaitGroup
	tasks.Go(func() {
		if err := drpcserver.New(server{group: g}).Serve(ctx, g.listener); err != nil && ctx.Err() == nil {
			g.common.Log.Error(err, "PeerListenerEnded")
		}
	})
	tasks.Go(func() { g.runExchanges(ctx, &tasks) })
	tasks.Go(func() { g.broadcastUpdates(ctx, &tasks) })
	tasks.Wait()
}

// Add adds a daemon, or replaces the known member of the same name, for example
// after the daemon has restarted.
func (g *Group) Add(member Member) {
	if member.Name == g.options.Self.Name || member.Name == "" {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.add(member)
}

func (g *Group) add(member Member) *peer {
	p := g.peers[member.Name]
	if p == nil {
		p = &peer{addedAt: g.common.Clock.Now()}
		g.peers[member.Name] = p
	}
	p.member = member
	return p
}

// Size returns the number of known daemons, including this one.
func (g *Group) Size() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.peers) + 1
}

// SetSeeds replaces the seeds.
func (g *Group) SetSeeds(seeds []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.options.Seeds = seeds
}
