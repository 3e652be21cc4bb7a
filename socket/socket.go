// Package socket reads the state of TCP sockets that package net does not show.
package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is what a connection's receive buffer holds.
type State int

const (
	// Unknown means that the socket could not be examined.
	Unknown State = iota
	// Quiet means that the peer has sent nothing more and keeps the connection open.
	Quiet
	// Readable means that bytes of the peer wait to be read.
	Readable
	// Ended means that the peer has closed the connection, or that it has failed.
	Ended
	// Reset means that the peer has reset the connection.
	Reset
)

// StateOf returns the state of a connection without reading from it.
func StateOf(conn any) State {
	raw, ok := rawConn(conn)
	if !ok {
		return Unknown
	}
	state := Unknown
	err := raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return Unknown
	}
	return state
}

// Await waits until a connection is no longer Quiet, without reading from it, and returns
// its state. It returns Quiet if the read deadline passes before.
func Await(conn any) State {
	raw, ok := rawConn(conn)
	if !ok {
		return Unknown
	}
	state := Unknown
	// An error means that the deadline has passed, or that this side has closed the
	// connection: the last state is all that is known.
	_ = raw.Read(func(fd uintptr) bool {
		state = peek(int(fd))
		return state != Quiet
	})
	return state
}

func peek(fd int) State {
	var peeked [1]byte
	count, _, err := unix.Recvfrom(fd, peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN:
		return Quiet
	case err == nil && count > 0:
		return Readable
	case err == unix.ECONNRESET:
		return Reset
	default:
		return Ended
	}
}

// HasUnacknowledged reports whether the peer has not acknowledged all bytes that were
// written to a connection.
func HasUnacknowledged(conn any) bool {
	count, isKnown := Unacknowledged(conn)
	return isKnown && count > 0
}

// Unacknowledged returns how many of the bytes that were written to a connection its peer has not
// acknowledged.
func Unacknowledged(conn any) (count int, isKnown bool) {
	raw, ok := rawConn(conn)
	if !ok {
		return 0, false
	}
	var failure error
	err := raw.Control(func(fd uintptr) { count, failure = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return count, err == nil && failure == nil
}

// HasPending reports whether a listener has connections that are established but not
// accepted yet.
func HasPending(listener any) bool {
	raw, ok := rawConn(listener)
	if !ok {
		return false
	}
	pending := false
	err := raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		count, err := unix.Poll(poll, 0)
		pending = err == nil && count > 0 && poll[0].Revents&unix.POLLIN != 0
	})
	return err == nil && pending
}

func rawConn(socket any) (syscall.RawConn, bool) {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := conn.SyscallConn()
	return raw, err == nil
}

// AckTimeoutControl returns a control function for net.Dialer that sets
// TCP_USER_TIMEOUT: a connection fails when sent bytes are not acknowledged within the
// timeout.
func AckTimeoutControl(timeout time.Duration) func(string, string, syscall.RawConn) error {
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
