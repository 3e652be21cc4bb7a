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
	// heard is called after each read of the present exchange that returned
	// bytes; it may be nil.
	heard func()
	// headLeft is how many bytes may still be read for the head of an answer;
	// it is negative while no head is read.
	headLeft int
	// until is when the connection is no longer used; it is set when the
	// connection becomes idle.
	until time.Time
}

const readBufferBytes = 4 << 10

func newConnection(raw net.Conn, address string) *connection {
	c := &connection{raw: raw, address: address, headLeft: noHead}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// noHead is the value of headLeft while no head is read.
const noHead = -1

// Read implements io.Reader. It bounds what is read for a head.
func (c *connection) Read(buffer []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, &LongHeadError{}
	}
	if c.headLeft > 0 && len(buffer) > c.headLeft {
		buffer = buffer[:c.headLeft]
	}
	count, err := c.raw.Read(buffer)
	if c.headLeft > 0 {
		c.headLeft -= count
	}
	if count > 0 && c.heard != nil {
		c.heard()
	}
	return count, err
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
