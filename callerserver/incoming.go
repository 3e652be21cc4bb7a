package callerserver

import (
	"errors"
	"net/http"
	"slices"
	"sync"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/framing"
)

// net/http counts the bytes of a header section only, takes the begin of the next request into the
// buffer of the one before, and keeps many short lines in a multiple of their size. So header sections
// are followed and counted at the connection, before they are parsed, and each read returns bytes of
// one request only.

// incoming is what the goroutine that reads knows of the bytes that arrive.
type incoming struct {
	scanner framing.Scanner
	// ahead holds bytes of the next request that came with those of the current one.
	ahead []byte

	mutex sync.Mutex
	// section holds the memory of the current header section. It is nil while that is small. It is
	// guarded by mutex, since any goroutine may close the connection.
	section *buffer.Account
}

// Memory of a header section once it is parsed, the maps and the copies of a request under way included.
const (
	sectionBytesPerByte = 2
	sectionBytesPerLine = 160
)

// sectionMemory returns the memory that a header section takes once it is parsed.
func sectionMemory(section framing.Section) int {
	return sectionBytesPerByte*section.Bytes + sectionBytesPerLine*section.Lines
}

const (
	// maxEmptyLineBytes bounds the empty lines before a request.
	maxEmptyLineBytes = 16
	// lineFrameBytes is the size of a header line without its name and value: a colon, a space and a
	// line end.
	lineFrameBytes = 4
	// minHeaderLines is the number of header lines that are allowed whatever the limit on bytes.
	minHeaderLines = 128
	// minRequestLineBytes is the size of a request line that is allowed whatever that limit
	// (RFC 9112, section 3).
	minRequestLineBytes = 8000
)

// readNext reads bytes that came ahead, or else from the connection.
func (c *connection) readNext(buffer []byte) (int, error) {
	if len(c.incoming.ahead) == 0 || c.isRefused() {
		return c.Conn.Read(buffer)
	}
	count := copy(buffer, c.incoming.ahead)
	c.incoming.ahead = c.incoming.ahead[count:]
	if len(c.incoming.ahead) == 0 {
		c.incoming.ahead = nil
	}
	return count, nil
}

// skipEmptyLines removes the empty lines before a request and returns their size. While the request before
// is served, those over the bound are passed on: net/http reads no more then, and the next request is refused.
func (c *connection) skipEmptyLines(content []byte) int {
	scanner := &c.incoming.scanner
	skipped := scanner.SkipEmptyLines(content)
	if skipped == 0 {
		return 0
	}
	if scanner.Section().EmptyBytes > maxEmptyLineBytes && !c.refuse(&refusal{status: http.StatusBadRequest, reason: "EmptyLines"}) {
		return 0
	}
	copy(content, content[skipped:])
	return skipped
}

// follow counts bytes that were read, and returns how many of them belong to the current request. The
// others are kept for the next read.
func (c *connection) follow(content []byte) int {
	scanner := &c.incoming.scanner
	wasInSection := scanner.IsInSection()
	count := scanner.Scan(content)
	if count < len(content) {
		c.incoming.ahead = slices.Concat(content[count:], c.incoming.ahead)
	}
	if !wasInSection || count == 0 {
		return count
	}
	section := scanner.Section()
	refusal := c.checkSection(section)
	if refusal != nil && !c.refuse(refusal) {
		// net/http reads these bytes as those of a body.
		scanner.Lose()
	}
	return count
}

// checkSection returns the refusal of a header section that is over a limit, or nil.
func (c *connection) checkSection(section framing.Section) *refusal {
	if limit := c.server.options.HeaderLimit(); limit > 0 {
		// Each line has a name of a byte or more.
		maxLines := max(limit, minHeaderLines)
		maxBytes := limit + max(limit, minRequestLineBytes) + lineFrameBytes*section.Lines
		if section.Lines > maxLines || section.Bytes > maxBytes {
			return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "LongHeader"}
		}
	}
	if c.server.options.Headers == nil {
		return nil
	}
	var exhausted *buffer.ExhaustedError
	if err := c.countSection(section); errors.As(err, &exhausted) {
		return sectionRefusal(exhausted)
	}
	return nil
}

// freeSectionBytes is the memory of header sections that do not count: that of ordinary ones.
const freeSectionBytes = 8 << 10

// countSection counts the memory of the header section. It returns an error if it does not fit.
func (c *connection) countSection(section framing.Section) error {
	c.incoming.mutex.Lock()
	defer c.incoming.mutex.Unlock()
	memory := sectionMemory(section)
	if c.incoming.section == nil {
		if memory <= freeSectionBytes {
			return nil
		}
		c.openSection()
	}
	if err := c.incoming.section.Resize(memory); err != nil {
		return err
	}
	if section.IsWhole {
		return c.incoming.section.Settle()
	}
	return nil
}

// openSection begins to count the memory of the header section. Larger ones that are not whole are
// refused for the sake of smaller ones. The mutex of incoming must be held.
func (c *connection) openSection() {
	c.incoming.section = c.server.options.Headers.Open(c.RemoteAddr().String(), func() {
		c.refuse(&refusal{status: http.StatusServiceUnavailable, reason: "NoRoomForHeader"})
	})
}

// sectionRefusal returns the refusal of a header section that does not fit beside others, or not at all.
func sectionRefusal(exhausted *buffer.ExhaustedError) *refusal {
	if exhausted.Bytes > exhausted.LimitBytes {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "LongHeader"}
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "NoRoomForHeader"}
}

// restartIncoming is called when the next request is awaited.
func (c *connection) restartIncoming() {
	c.incoming.scanner.Restart()
	c.closeSection()
}

// closeSection ends the counting of the memory of the last header section.
func (c *connection) closeSection() {
	c.incoming.mutex.Lock()
	defer c.incoming.mutex.Unlock()
	if c.incoming.section != nil {
		_ = c.incoming.section.Close()
		c.incoming.section = nil
	}
}
