// Package inventory keeps which runners there are, from the records that they
// write about themselves. It has no input or output.
package inventory

import "time"

// State says what a runner says of itself.
type State int

const (
	// Ready runners take requests.
	Ready State = iota
	// Leaving runners finish what they have.
	Leaving
)

// Runner is one start of a runner.
type Runner struct {
	// ID names the runner; a runner that starts again may have the same.
	ID string
	// Born tells starts under one ID apart.
	Born    time.Time
	Service string
	Address string
	Zone    string
	Slots   int
	State   State
	// Reclaimable runners may be taken away, all of a zone at once.
	Reclaimable bool
	// LeavesIn is the time from the record to the runner's end, if the record
	// tells it.
	LeavesIn time.Duration
}

// SameStart reports whether both describe the same start of a runner.
func (r Runner) SameStart(other Runner) bool {
	return r.ID == other.ID && r.Born.Equal(other.Born) && r.Address == other.Address && r.Service == other.Service
}
