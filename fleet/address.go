package fleet

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
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
)

// triedPorts counts the ports that this process has tried.
var triedPorts atomic.Int64

// FreeAddress returns a loopback address that no process listens on. Within one
// process, it returns each address only once.
func FreeAddress() (string, error) {
	for range lastPort - firstPort {
		offset := int64(os.Getpid())*portStride + triedPorts.Add(1)
		port := firstPort + int(offset%(lastPort-firstPort))
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", &NoAddressError{}
}
