// Package relay forwards TCP connections and lets a test cut or silence them,
// as a network partition or a lost connection state does.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
)

// Mode says what a relay does with bytes.
type Mode int

// The modes of a relay.
const (
	// ModePass forwards in both directions.
	ModePass Mode = iota
	// ModeCut resets open connections and every new one.
	ModeCut
	// ModeSilent accepts connections and drops the bytes of both directions.
	ModeSilent
	// ModeDropRequests drops the bytes to the target only.
	ModeDropRequests
	// ModeDropAnswers drops the bytes from the target only.
	ModeDropAnswers
)

// drops tells whether bytes in one direction are lost.
func (m Mode) drops(toTarget bool) bool {
	switch m {
	case ModeSilent:
		return true
	case ModeDropRequests:
		return toTarget
	case ModeDropAnswers:
		return !toTarget
	default:
		return false
	}
}

// Relay listens on an address of its own and forwards to a target.
type Relay struct {
	listener net.Listener
	target   string
	// done is closed when all connections have ended after Close.
	done    chan struct{}
	links   sync.WaitGroup
	dropped atomic.Int64

	mu   sync.Mutex
	mode Mode
	open map[*link]struct{}
}

// New returns a relay on a free loopback port.
func New(target string) (*Relay, error) {
	return Listen("127.0.0.1:0", target)
}

// Listen returns a relay on the address.
func Listen(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, done: make(chan struct{}), open: map[*link]struct{}{}}
	go r.accept()
	return r, nil
}

// Address returns the host:port to connect to in place of the target's.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetMode changes what happens to open and new connections. A connection that
// has lost bytes in a direction never passes bytes in that direction again.
func (r *Relay) SetMode(mode Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	for l := range r.open {
		if mode == ModeCut {
			l.reset()
		}
		l.set(mode)
	}
}

// Silence drops the bytes of all open connections for good, while new ones
// work.
func (r *Relay) Silence() {
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

// Dropped returns the number of bytes that were dropped.
func (r *Relay) Dropped() int64 { return r.dropped.Load() }

// Close stops listening and resets all connections. It returns when they have
// ended.
func (r *Relay) Close() {
	// A second Close finds the listener closed.
	_ = r.listener.Close()
	r.SetMode(ModeCut)
	<-r.done
}

// Done is closed when all connections have ended after Close.
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

// forward joins a connection with a new one to the target until one of them
// ends.
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
	l.set(r.mode)
	if r.mode == ModeCut {
		l.reset()
	}
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, l)
}
