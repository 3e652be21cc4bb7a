package fleet

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// firstPort and lastPort bound the ports of the fleet. They are below the
	// ephemeral ports of the system, so that no outgoing connection takes a
	// port between its choice and its use.
	firstPort = 12_000
	lastPort  = 32_000
	// portStride keeps processes that run at the same time from trying the
	// same ports first.
	portStride = 37
	// dialTimeout bounds the time to find out whether a process listens on an address.
	dialTimeout = time.Second
)

// reservationHost is a second loopback address. A process listens there on each port that
// it has returned, so that no other process returns it before the first one uses it.
const reservationHost = "127.0.0.2"

var (
	// triedPorts counts the ports that this process has tried.
	triedPorts atomic.Int64

	reservationMutex sync.Mutex
	// reservations is guarded by reservationMutex. It keeps the listeners open until
	// the process ends.
	reservations []net.Listener
)

// FreeAddress returns a loopback address that no process listens on. No process that
// runs at the same time gets the same one.
func FreeAddress() (string, error) {
	for range lastPort - firstPort {
		offset := int64(os.Getpid())*portStride + triedPorts.Add(1)
		port := strconv.Itoa(firstPort + int(offset%(lastPort-firstPort)))
		if !reserve(port) {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", port)
		if isFree(address) {
			return address, nil
		}
	}
	return "", &NoAddressError{}
}

// isFree reports whether no process listens on an address. It connects to it. A listener would show
// it too, but a process that is being started has a copy of each open socket until it executes its
// program, and the address would stay in use for so long.
func isFree(address string) bool {
	connection, err := net.DialTimeout("tcp", address, dialTimeout)
	if err == nil {
		_ = connection.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// reserve reports whether this process now holds the reservation of the port.
func reserve(port string) bool {
	listener, err := net.Listen("tcp", net.JoinHostPort(reservationHost, port))
	if err != nil {
		return false
	}
	reservationMutex.Lock()
	defer reservationMutex.Unlock()
	reservations = append(reservations, listener)
	return true
}
