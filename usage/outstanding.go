package usage

import "time"

// Heard records that another process has told its counts up to a true time.
func (c *Counter) Heard(process string, until time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.peer(process)
	if known.heardUntil.Before(until) {
		known.heardUntil = until
	}
}

// Ended records that another process has told all its counts and will have no others.
func (c *Counter) Ended(process string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peer(process).hasEnded = true
}

// HasOutstanding reports whether another process may still tell counts of a window that
// has ended: it was heard in that window or the one before, and not since.
func (c *Counter) HasOutstanding(window int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	from, end := c.End(window-2), c.End(window)
	for _, known := range c.others {
		wasHeard := !known.heardUntil.Before(from) && known.heardUntil.Before(end)
		if wasHeard && !known.hasEnded {
			return true
		}
	}
	return false
}
