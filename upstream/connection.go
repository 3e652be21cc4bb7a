package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// connection carries one request at a time.
type connection struct {
	raw     net.Conn
	address string
	reader  *bufio.Reader
	// used is true after the first request.
	used bool
	// until is when the connection is no longer used; it is set when the
	// connection becomes idle.
	until time.Time
}

const readBufferBytes = 4 << 10

func newConnection(raw net.Conn, address string) *connection {
	return &connection{raw: raw, address: address, reader: bufio.NewReaderSize(raw, readBufferBytes)}
}

// isFresh reports whether an idle connection may carry another request.
func (c *connection) isFresh(now time.Time) bool {
	return now.Before(c.until) && c.reader.Buffered() == 0 && isQuiet(c.raw)
}

// idleTime returns how long a runner says that it keeps an unused connection.
func idleTime(header http.Header) (time.Duration, bool) {
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
