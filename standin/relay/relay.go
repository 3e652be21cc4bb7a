// Package relay is a TCP proxy in which a test can reset connections or drop
// their bytes, as happens in a network partition or when a middlebox loses its
// connection state.
package relay

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/cranberrywalk/cranberrywalk/standin/loopback"
)

// Mode is what a relay does with connections and their bytes.
type Mode int

// The modes of a relay.
const (
	// ModePass forwards bytes in both directions.
	ModePass Mode = iota
	// ModeCut resets all open and new connections.
	ModeCut
	// ModeDropAll accepts connections and drops the bytes in both directions.
	ModeDropAll
	// ModeDropRequests drops the bytes to the target only.
	ModeDropRequests
	// ModeDropResponses drops the bytes from the target only.
	ModeDropResponses
)

// drops returns whether bytes in a direction are dropped.
func (m Mode) drops(toTarget bool) bool {
	switch m {
	case ModeDropAll:
		return true
	case ModeDropRequests:
		return toTarget
	case ModeDropResponses:
		return !toTarget
	default:
		return false
	}
}

// Relay is a proxy that forwards connections from its own address to a target.
type Relay struct {
	listener net.Listener
	target   string
	// done is closed after Close when all connections have ended.
	done    chan struct{}
	links   sync.WaitGroup
	dropped atomic.Int64

	mu   sync.Mutex
	mode Mode
	open map[*link]struct{}
}

// New returns a relay that listens on a free loopback port.
func New(target string) (*Relay, error) {
	listener, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	return newRelay(listener, target), nil
}

// Listen returns a relay that listens on the address.
func Listen(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return newRelay(listener, target), nil
}

// newRelay returns a relay that accepts connections of a listener.
func newRelay(listener net.Listener, target string) *Relay {
	r := &Relay{listener: listener, target: target, done: make(chan struct{}), open: map[*link]struct{}{}}
	go r.accept()
	return r
}

// Address returns the host:port to connect to in place of the target's.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetMode sets the mode of open and new connections. Once a connection has
// dropped bytes in a direction, it never forwards bytes in that direction again.
func (r *Relay) SetMode(mode Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	for l := range r.open {
		if mode == ModeCut {
			l.reset()
		}
		l.setMode(mode)
	}
}

// SilenceOpenConnections drops the bytes of all open connections from now on,
// whatever the mode. Connections opened later are not affected.
func (r *Relay) SilenceOpenConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.open {
		l.silence()
	}
}

// Open returns the number of open connections.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

// Dropped returns the number of dropped bytes.
func (r *Relay) Dropped() int64 { return r.dropped.Load() }

// Close stops listening and resets all connections. It returns when they have
// ended.
func (r *Relay) Close() {
	// The listener is closed already on a second Close.
	_ = r.listener.Close()
	r.SetMode(ModeCut)
	<-r.done
}

// Done returns a channel that is closed after Close when all connections have
// ended.
func (r *Relay) Done() <-chan struct{} { return r.done }

// accept forwards connections until the listener is closed.
func (r *Relay) accept() {
	defer close(r.done)
	defer r.links.Wait()
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.links.Go(func() { r.forward(caller) })
	}
}

// forward connects to the target and copies bytes between it and the caller until
// both directions have ended.
func (r *Relay) forward(caller net.Conn) {
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(caller)
		return
	}
	l := &link{caller: caller, target: target, dropped: &r.dropped}
	r.add(l)
	defer r.remove(l)
	l.run()
}

func (r *Relay) add(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[l] = struct{}{}
	l.setMode(r.mode)
	if r.mode == ModeCut {
		l.reset()
	}
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, l)
}
