package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ackTimeoutControl returns a control function that sets TCP_USER_TIMEOUT: a connection
// fails when sent bytes are not acknowledged within the timeout.
func ackTimeoutControl(timeout time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	}
}

// isOpenAndQuiet reports whether the other end has neither sent anything nor closed
// the connection.
func isOpenAndQuiet(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}
