package peer

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/peer/gossip"
	"github.com/cranberrywalk/cranberrywalk/ring"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/timeline"
)

// queueCapacity bounds each of the queues for exchanges and for notices.
const queueCapacity = 64

// Mesh connects a daemon to its peers: it serves their calls and runs the gossip
// with them.
type Mesh struct {
	common  telemetry.Common
	options Options
	stamps  *timeline.Clock
	handler Handler
	client  *client

	// exchanges, notices and fetches queue peers for the goroutines that
	// call them.
	exchanges *ring.Ring[hosting.VM]
	notices   *ring.Ring[hosting.VM]
	fetches   *ring.Ring[hosting.VM]
	// pushRequests holds at most one pending request to push urgent notices.
	pushRequests *ring.Ring[struct{}]

	listener net.Listener
	done     chan struct{}

	mutex sync.Mutex
	// core is guarded by mutex.
	core *gossip.Core
	// peers holds the other listed entry VMs by name; guarded by mutex.
	peers map[string]hosting.VM
	// newestOffset is the highest configuration offset that a peer has
	// reported; guarded by mutex.
	newestOffset uint64
	// seen holds the newest process that a message came from, by VM; guarded
	// by mutex.
	seen map[string]seenProcess
}

// New returns a mesh that does nothing before Listen and Run are called.
func New(common telemetry.Common, options Options, stamps *timeline.Clock, handler Handler) *Mesh {
	random := rand.New(rand.NewPCG(options.Seed, 0))
	return &Mesh{
		common:       common,
		options:      options,
		stamps:       stamps,
		handler:      handler,
		client:       newClient(common, options),
		exchanges:    ring.New[hosting.VM]("peer exchanges", queueCapacity),
		notices:      ring.New[hosting.VM]("peer notices", queueCapacity),
		fetches:      ring.New[hosting.VM]("peer fetches", 1),
		pushRequests: ring.New[struct{}]("peer push requests", 1),
		done:         make(chan struct{}),
		core:         gossip.New(options.Identity, random),
		peers:        make(map[string]hosting.VM),
		seen:         make(map[string]seenProcess),
	}
}

// Listen binds the peer address. The bind is exclusive: when it succeeds, every
// earlier process on the VM has closed its listener.
func (m *Mesh) Listen() error {
	listener, err := net.Listen("tcp", m.options.Address)
	if err != nil {
		return &ListenError{Address: m.options.Address, Cause: err}
	}
	m.listener = listener
	if m.options.Limit != nil {
		m.listener = m.options.Limit(listener)
	}
	return nil
}

// Address returns the bound peer address; it is valid after Listen.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Run serves and calls the peers until ctx ends, and then closes the listener.
// A stopping daemon must end ctx only after its last write to a backend server.
func (m *Mesh) Run(ctx context.Context) {
	defer close(m.done)
	defer m.client.close()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){m.serve, m.runRounds, m.runExchanges, m.runPushes, m.sendNotices, m.runFetches} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// Done is closed by Run when it returns.
func (m *Mesh) Done() <-chan struct{} { return m.done }

// SetVMs replaces the list of VMs: entry VMs and backend servers. VMs that are
// not listed are not called.
func (m *Mesh) SetVMs(vms []hosting.VM) {
	peers := make(map[string]hosting.VM)
	for _, vm := range vms {
		if vm.Role == hosting.RoleEntry && vm.Name != m.options.Identity.Daemon {
			peers[vm.Name] = vm
		}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.peers = peers
	maps.DeleteFunc(m.seen, func(name string, _ seenProcess) bool {
		_, listed := peers[name]
		return !listed
	})
	m.core.SetVMs(vms)
}

// Publish publishes the daemon's own facts. When there are new urgent ones (leaving
// VMs, suspects, or the draining state), it schedules a push to peers at once and
// does not wait for the calls.
func (m *Mesh) Publish() {
	own := m.handler.Digest()
	m.mutex.Lock()
	urgent := m.core.Publish(own, m.common.Clock.Now())
	m.mutex.Unlock()
	if urgent {
		m.requestPush()
	}
}

// Incarnation returns the incarnation of the newest process on a VM that a message
// came from. When it differs from the incarnation in an earlier message, the earlier
// process has ended.
func (m *Mesh) Incarnation(daemon string) (string, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	process, known := m.seen[daemon]
	return process.incarnation, known
}

// lookUpPeer returns the listed daemon of that name, or an *UnknownPeerError.
func (m *Mesh) lookUpPeer(name string) (hosting.VM, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	peer, listed := m.peers[name]
	if !listed {
		return hosting.VM{}, &UnknownPeerError{Peer: name}
	}
	return peer, nil
}

// enqueue adds a peer to a queue. When the queue is full the peer is dropped; later
// rounds deliver the facts instead.
func (m *Mesh) enqueue(queue *ring.Ring[hosting.VM], peer hosting.VM) {
	if err := queue.Put(peer); err != nil {
		m.common.Count("Peer.ContactsRefused", 1)
	}
}
