package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

const bufferBytes = 32 << 10

// link is a pair of connections, one from a caller and one to the target, with
// the bytes forwarded between them.
type link struct {
	caller net.Conn
	target net.Conn
	mode   atomic.Int64
	// silenced drops all bytes in both directions regardless of the mode.
	silenced atomic.Bool
	// dropped counts the dropped bytes over all links of the relay.
	dropped *atomic.Int64
}

func (l *link) setMode(mode Mode) { l.mode.Store(int64(mode)) }

func (l *link) silence() { l.silenced.Store(true) }

// drops returns whether the bytes in a direction, and the end of its connection,
// are dropped.
func (l *link) drops(toTarget bool) bool {
	return l.silenced.Load() || Mode(l.mode.Load()).drops(toTarget)
}

// run forwards until both directions have ended.
func (l *link) run() {
	var directions sync.WaitGroup
	directions.Go(func() { l.copy(l.target, l.caller, true) })
	directions.Go(func() { l.copy(l.caller, l.target, false) })
	directions.Wait()
	l.reset()
}

// copy forwards one direction. Once it has dropped bytes, it drops all later ones,
// because the receiver could not parse a stream with a gap. The end of from is
// dropped as well: the receiver does not detect that a silent connection has ended.
func (l *link) copy(to, from net.Conn, toTarget bool) {
	buffer := make([]byte, bufferBytes)
	for hasDropped := false; ; {
		n, err := from.Read(buffer)
		hasDropped = hasDropped || l.drops(toTarget)
		if hasDropped {
			l.dropped.Add(int64(n))
		} else if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				l.reset()
				return
			}
		}
		if err != nil {
			l.propagateClose(to, err, hasDropped)
			return
		}
	}
}

// propagateClose propagates the end of one direction: a half-close after io.EOF, a
// reset of both connections after any other error, and nothing when bytes were
// dropped.
func (l *link) propagateClose(to net.Conn, cause error, hasDropped bool) {
	switch half, isTCP := to.(*net.TCPConn); {
	case hasDropped:
	case isTCP && errors.Is(cause, io.EOF):
		// The error is ignored: the other direction may have closed the
		// connection already.
		_ = half.CloseWrite()
	default:
		l.reset()
	}
}

// reset closes both connections with a TCP reset and discards buffered data.
func (l *link) reset() {
	reset(l.caller)
	reset(l.target)
}

func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	// The connection may be closed already.
	_ = connection.Close()
}
