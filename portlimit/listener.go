// Package portlimit bounds the connections at a port, and the bytes of requests that wait there for their
// end. It is for ports of few known clients; the connections that have been silent for the longest time
// make room for new ones.
package portlimit

import (
	"net"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/connlimit"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Options configures a Listener.
type Options struct {
	// Name names the port in counters.
	Name string
	// MaxConnections bounds the connections that are open; zero means no bound.
	MaxConnections int
	// Requests bounds the memory of all requests that are not answered; nil means no bound.
	Requests *buffer.Budget
}

// Listener accepts connections within bounds.
type Listener struct {
	net.Listener
	common  telemetry.Common
	options Options
	limit   *connlimit.Limit[*conn]
	// lines limits the log lines on connections that are closed.
	lines *telemetry.Throttle
}

// linePeriod is the shortest time between two of these lines.
const linePeriod = time.Second

// New returns a listener that accepts from another one.
func New(common telemetry.Common, options Options, listener net.Listener) *Listener {
	return &Listener{
		Listener: listener, common: common, options: options, limit: connlimit.New[*conn](options.MaxConnections),
		lines: telemetry.NewThrottle(linePeriod),
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for excess, _, isAny := l.limit.TakeExcess(); isAny; excess, _, isAny = l.limit.TakeExcess() {
		excess.drop("Connections")
	}
	c := &conn{Conn: accepted, listener: l}
	c.request = l.options.Requests.Open(accepted.RemoteAddr().String(), func() { c.drop("Messages") })
	c.entry = l.limit.Enter(c)
	return c, nil
}

// Count returns the number of open connections; a nil listener has none.
func (l *Listener) Count() int {
	if l == nil {
		return 0
	}
	return l.limit.Count()
}

// conn is a connection that was accepted.
type conn struct {
	net.Conn
	listener *Listener
	entry    *connlimit.Entry[*conn]

	mutex sync.Mutex
	// request holds the memory of the request that is not answered; guarded by mutex, as the fields
	// below.
	request *buffer.Account
	// pending is the number of bytes that were read since the last write, longest the largest number
	// so far.
	pending, longest int
}

// memoryPerByte is the memory that a byte of a message takes: buffers double as they grow.
const memoryPerByte = 2

// keptBytes is the size from which the buffer of a message counts as long as its connection is open:
// buffers do not shrink.
const keptBytes = 512 << 10

// Read implements net.Conn.
func (c *conn) Read(content []byte) (int, error) {
	count, err := c.Conn.Read(content)
	if count > 0 {
		c.entry.SetRank(connlimit.Idle)
		c.add(count)
	}
	return count, err
}

// add counts bytes that were read. If they do not fit, the connection is closed.
func (c *conn) add(count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending += count
	if c.pending <= c.longest {
		return
	}
	c.longest = c.pending
	if c.request.Resize(memoryPerByte*c.longest) != nil {
		c.drop("Messages")
	}
}

// Write implements net.Conn. It answers what was read before.
func (c *conn) Write(content []byte) (int, error) {
	c.answer()
	return c.Conn.Write(content)
}

func (c *conn) answer() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending = 0
	if c.longest <= keptBytes {
		c.longest = 0
		// An error means that the connection is closed.
		_ = c.request.Resize(0)
	}
}

// drop closes the connection for the sake of others. It may be called from any goroutine.
func (c *conn) drop(reason string) {
	l := c.listener
	l.common.Count("Ports."+l.options.Name+".ClosedForTooMany"+reason, 1)
	if unlogged, isDue := l.lines.Take(l.common.Clock.Now()); isDue {
		l.common.Log.Info("PortConnectionClosed", "Port", l.options.Name, "Client", c.RemoteAddr().String(), "TooMany", reason,
			"Unlogged", unlogged)
	}
	_ = c.Conn.Close()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.entry.Leave()
	c.mutex.Lock()
	_ = c.request.Close()
	c.mutex.Unlock()
	return c.Conn.Close()
}
