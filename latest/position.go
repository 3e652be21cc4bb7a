package latest

import "cmp"

// Position is a place in a log. A log that is restored from an older copy begins a new
// epoch, in which offsets are given out again, so offsets are only comparable within
// an epoch.
type Position struct {
	// Epoch increases each time that the log is restored.
	Epoch uint64
	// Offset is the number of records before the position.
	Offset uint64
}

// Compare returns -1, 0 or +1. Every position of an epoch is after all positions of
// earlier epochs.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, other.Epoch), cmp.Compare(p.Offset, other.Offset))
}

// Before reports whether p is before other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// WithOffset returns the position at an offset of the same epoch.
func (p Position) WithOffset(offset uint64) Position {
	p.Offset = offset
	return p
}
