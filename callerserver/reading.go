package callerserver

import "os"

// Read implements net.Conn. It returns bytes of one request only, without the empty lines before it,
// and a timeout if the request is refused. The first byte of a request starts the header timeout.
func (c *connection) Read(buffer []byte) (int, error) {
	for {
		count, err := c.readNext(buffer)
		count -= c.skipEmptyLines(buffer[:count])
		if count == 0 && err == nil && len(buffer) > 0 && !c.isRefused() {
			continue
		}
		again, err := c.recordRead(len(buffer), count, err)
		if again {
			continue
		}
		count = c.follow(buffer[:count])
		if c.takeRefusal() {
			return 0, os.ErrDeadlineExceeded
		}
		c.lingerIfIdle()
		return count, err
	}
}

// recordRead records the result of a read. It reports whether the read must be
// repeated, and otherwise returns its error.
func (c *connection) recordRead(size, count int, err error) (again bool, result error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if count > 0 {
		c.recordBytes(size)
		return false, err
	}
	if err == nil {
		return false, nil
	}
	if c.closing == bodyLate && size == watchSize {
		// The body has been read to its end.
		c.withdrawClose()
		return isTimeout(err), err
	}
	if c.closing != "" && isTimeout(err) {
		return c.closeUnlessReadable(err)
	}
	c.recordError(err)
	return false, err
}

func (c *connection) recordBytes(size int) {
	switch c.phase {
	case awaiting:
		c.receive()
	case received, serving, ending:
		c.isReadAhead = size == watchSize
	}
}

// watchSize is the size of a read by which net/http notices a caller that disconnects. It
// begins once the body of the request has been read.
const watchSize = 1
