// Package timeline records the recent events of each process, stamped by a hybrid
// logical clock, and merges the events of several processes in causal order.
package timeline

import (
	"cmp"
	"fmt"
	"time"
)

// Stamp is a reading of a hybrid logical clock. If one event happened before
// another, its stamp is smaller.
type Stamp struct {
	// Wall is the wall clock in milliseconds since 1970, UTC. It is never below
	// the Wall of a stamp that the process has observed.
	Wall int64
	// Counter orders events with the same Wall.
	Counter uint32
}

// Compare returns -1, 0 or 1 when s is before, equal to or after other.
func (s Stamp) Compare(other Stamp) int {
	if order := cmp.Compare(s.Wall, other.Wall); order != 0 {
		return order
	}
	return cmp.Compare(s.Counter, other.Counter)
}

// Before reports whether s is smaller than other.
func (s Stamp) Before(other Stamp) bool { return s.Compare(other) < 0 }

// IsZero reports whether s was never set.
func (s Stamp) IsZero() bool { return s == Stamp{} }

// Time returns the wall clock part.
func (s Stamp) Time() time.Time { return time.UnixMilli(s.Wall).UTC() }

// String returns the wall time in milliseconds and the counter.
func (s Stamp) String() string {
	return fmt.Sprintf("%s.%04d", s.Time().Format("2006-01-02T15:04:05.000Z"), s.Counter)
}
