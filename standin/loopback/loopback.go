// Package loopback listens on loopback ports that stay reserved after the listener is closed.
package loopback

import (
	"net"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

// maxClosed bounds the ports of closed listeners that stay reserved. A run of the soak closes fewer
// than 100. Tests of the gateway close thousands and used up the ports of the system without a bound.
const maxClosed = 500

var (
	closedMutex sync.Mutex
	// closed holds the descriptors that reserve the ports of closed listeners, the oldest first;
	// guarded by closedMutex.
	closed []int
)

// listener is a listener whose port is reserved by a descriptor.
type listener struct {
	net.Listener
	keepPort func()
}

// Close closes the listener. Its port stays reserved.
func (l listener) Close() error {
	defer l.keepPort()
	return l.Listener.Close()
}

// keepPort keeps the port of a closed listener, and releases the oldest one if there are too many.
func keepPort(descriptor int) {
	closedMutex.Lock()
	defer closedMutex.Unlock()
	closed = append(closed, descriptor)
	if len(closed) > maxClosed {
		_ = unix.Close(closed[0])
		closed = closed[1:]
	}
}

// Listen listens on a free port of 127.0.0.1. The system gives the port to no other socket of any
// process until this process ends or has closed maxClosed other listeners: a daemon that still sent
// to a closed runner reached a runner of another test at the same port.
func Listen() (net.Listener, error) {
	descriptor, address, err := reserve()
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	inner, err := net.Listen("tcp", address)
	if err != nil {
		_ = unix.Close(descriptor)
		return nil, err
	}
	return listener{Listener: inner, keepPort: sync.OnceFunc(func() { keepPort(descriptor) })}, nil
}

// reserve binds a socket that does not listen to a free port. It keeps the system from choosing the
// port again, but not a socket with the same option from listening there.
func reserve() (descriptor int, address string, err error) {
	descriptor, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, "", os.NewSyscallError("socket", err)
	}
	port, err := bind(descriptor)
	if err != nil {
		_ = unix.Close(descriptor)
		return 0, "", err
	}
	return descriptor, (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}).String(), nil
}

// bind binds a socket to a free port and returns the port.
func bind(descriptor int) (port int, err error) {
	if err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, os.NewSyscallError("setsockopt", err)
	}
	if err := unix.Bind(descriptor, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, os.NewSyscallError("bind", err)
	}
	bound, err := unix.Getsockname(descriptor)
	if err != nil {
		return 0, os.NewSyscallError("getsockname", err)
	}
	address, isIPv4 := bound.(*unix.SockaddrInet4)
	if !isIPv4 {
		return 0, os.NewSyscallError("getsockname", unix.EAFNOSUPPORT)
	}
	return address.Port, nil
}
