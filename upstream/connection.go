package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrywalk/cranberrywalk/socket"
)

// connection is a pooled connection. It carries one request at a time.
type connection struct {
	raw     net.Conn
	address string
	reader  *bufio.Reader
	// idleSince is when the last exchange ended. It is zero before the first one.
	idleSince time.Time
	// use is the current exchange, or the last one.
	use use
	// hasCarriedHead is true once a HEAD request was sent, whose answer has no body.
	hasCarriedHead bool
	// onRead is called after each read of the current exchange that returned
	// bytes. It may be nil.
	onRead func()
	// headerBytesLeft is how many bytes may still be read for the header of an
	// answer. It is noHeader while no header is being read.
	headerBytesLeft int
	// idleUntil is the end of the idle timeout. It is set when the connection
	// becomes idle.
	idleUntil time.Time
}

const readBufferBytes = 4 << 10

func newConnection(raw net.Conn, address string) *connection {
	c := &connection{raw: raw, address: address, headerBytesLeft: noHeader}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// noHeader is the value of headerBytesLeft while no header is being read.
const noHeader = -1

// Read implements io.Reader. It enforces the limit on the size of a header.
func (c *connection) Read(buffer []byte) (int, error) {
	if c.headerBytesLeft == 0 {
		return 0, &HeaderTooLargeError{}
	}
	if c.headerBytesLeft > 0 && len(buffer) > c.headerBytesLeft {
		buffer = buffer[:c.headerBytesLeft]
	}
	count, err := c.raw.Read(buffer)
	if c.headerBytesLeft > 0 {
		c.headerBytesLeft -= count
	}
	if count > 0 {
		c.use.isAnswered = true
	}
	if count > 0 && c.onRead != nil {
		c.onRead()
	}
	return count, err
}

// isReusable reports whether an idle connection can carry another request.
func (c *connection) isReusable(now time.Time) bool {
	return now.Before(c.idleUntil) && c.reader.Buffered() == 0 && socket.StateOf(c.raw) == socket.Quiet
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return time.Duration(seconds) * time.Second, true
	}
	return 0, false
}
