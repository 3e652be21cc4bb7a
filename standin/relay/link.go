package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

const bufferBytes = 32 << 10

// link joins the connection of a caller with one to the target.
type link struct {
	caller net.Conn
	target net.Conn
	mode   atomic.Int64
	// silenced makes the link silent whatever the mode.
	silenced atomic.Bool
	// dropped counts the dropped bytes of all links of the relay.
	dropped *atomic.Int64
}

func (l *link) set(mode Mode) { l.mode.Store(int64(mode)) }

func (l *link) silence() { l.silenced.Store(true) }

// drops tells whether bytes, and the end of a connection, are lost.
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

// copy forwards one direction. Once bytes were dropped, all later ones are,
// because the receiver could not make sense of the rest. The end of from is
// passed on in the same way: the other side of a silent connection does not
// learn that it has ended.
func (l *link) copy(to, from net.Conn, toTarget bool) {
	buffer := make([]byte, bufferBytes)
	for isLost := false; ; {
		n, err := from.Read(buffer)
		isLost = isLost || l.drops(toTarget)
		if isLost {
			l.dropped.Add(int64(n))
		} else if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				l.reset()
				return
			}
		}
		if err != nil {
			l.end(to, err, isLost)
			return
		}
	}
}

// end passes on the end of one direction, which may be a reset.
func (l *link) end(to net.Conn, cause error, isLost bool) {
	switch half, isTCP := to.(*net.TCPConn); {
	case isLost:
	case isTCP && errors.Is(cause, io.EOF):
		// The other direction may have ended the connection already.
		_ = half.CloseWrite()
	default:
		l.reset()
	}
}

// reset closes both connections without sending what is buffered.
func (l *link) reset() {
	reset(l.caller)
	reset(l.target)
}

func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	// Closing twice does no harm.
	_ = connection.Close()
}
