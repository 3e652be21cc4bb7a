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

// contactCapacity bounds the exchanges and notices that wait to be sent.
const contactCapacity = 64

// Mesh is a daemon's part in the exchange between all daemons.
type Mesh struct {
	common  telemetry.Common
	options Options
	stamps  *timeline.Clock
	handler Handler
	client  *client

	// exchanges, notices and fetches join the rounds to the goroutines that
	// talk to the peers.
	exchanges *ring.Ring[hosting.VM]
	notices   *ring.Ring[hosting.VM]
	fetches   *ring.Ring[hosting.VM]
	// spreads holds at most one wish to push urgent notices.
	spreads *ring.Ring[struct{}]

	listener net.Listener
	done     chan struct{}

	mutex sync.Mutex
	// core is guarded by mutex.
	core *gossip.Core
	// peers holds the listed entry VMs by name; guarded by mutex.
	peers map[string]hosting.VM
	// newest is the highest offset of a configuration that a peer was heard
	// to have; guarded by mutex.
	newest uint64
	// seen holds the process that was last heard of on each VM; guarded by
	// mutex.
	seen map[string]seenProcess
}

// New returns a mesh that does nothing until Listen and Run are called.
func New(common telemetry.Common, options Options, stamps *timeline.Clock, handler Handler) *Mesh {
	random := rand.New(rand.NewPCG(options.Seed, 0))
	return &Mesh{
		common:    common,
		options:   options,
		stamps:    stamps,
		handler:   handler,
		client:    newClient(common, options),
		exchanges: ring.New[hosting.VM]("peer exchanges", contactCapacity),
		notices:   ring.New[hosting.VM]("peer notices", contactCapacity),
		fetches:   ring.New[hosting.VM]("peer fetches", 1),
		spreads:   ring.New[struct{}]("peer spreads", 1),
		done:      make(chan struct{}),
		core:      gossip.New(options.Identity, random),
		peers:     make(map[string]hosting.VM),
		seen:      make(map[string]seenProcess),
	}
}

// Listen binds the peer address. The address is bound exclusively: a process
// that has bound it knows that every earlier process on the VM has closed it.
func (m *Mesh) Listen() error {
	listener, err := net.Listen("tcp", m.options.Address)
	if err != nil {
		return &ListenError{Address: m.options.Address, Cause: err}
	}
	m.listener = listener
	return nil
}

// Address returns the bound peer address; it is valid after Listen.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Run serves and calls the peers until ctx ends, and then closes the listener.
// A daemon that stops ends ctx after its last write to a backend server.
func (m *Mesh) Run(ctx context.Context) {
	defer close(m.done)
	defer m.client.close()
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){m.serve, m.rounds, m.exchange, m.push, m.notify, m.fetch} {
		duties.Go(func() { duty(ctx) })
	}
	duties.Wait()
}

// Done is closed by Run when it returns.
func (m *Mesh) Done() <-chan struct{} { return m.done }

// SetVMs tells the mesh which VMs the roster lists, entry VMs and backend
// servers alike. A VM that is not listed is not called.
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

// Tell spreads the urgent ones among the daemon's own facts at once: leaving
// VMs, suspects and that the daemon is draining. It does not wait for the
// peers.
func (m *Mesh) Tell() {
	own := m.handler.Digest()
	m.mutex.Lock()
	urgent := m.core.Publish(own, m.common.Clock.Now())
	m.mutex.Unlock()
	if urgent {
		m.spread()
	}
}

// Incarnation returns the newest process that was heard of on a VM. Another
// one than that of an earlier message proves that the earlier process ended.
func (m *Mesh) Incarnation(daemon string) (string, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	process, known := m.seen[daemon]
	return process.incarnation, known
}

// peer returns the listed daemon of that name.
func (m *Mesh) peer(name string) (hosting.VM, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	peer, listed := m.peers[name]
	if !listed {
		return hosting.VM{}, &UnknownPeerError{Peer: name}
	}
	return peer, nil
}

// enqueue adds a peer to a ring; a full one loses it, and the next round makes
// up for it.
func (m *Mesh) enqueue(contacts *ring.Ring[hosting.VM], peer hosting.VM) {
	if err := contacts.Put(peer); err != nil {
		m.common.Count("Peer.ContactsRefused", 1)
	}
}
