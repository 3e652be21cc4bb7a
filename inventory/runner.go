// Package inventory tracks the known runners from the records that they write
// about themselves. It does no I/O.
package inventory

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state that a runner reports.
type State int

const (
	// Ready runners accept requests.
	Ready State = iota
	// Leaving runners finish their requests and accept no new ones.
	Leaving
)

// Runner describes one incarnation of a runner; a restart begins another.
type Runner struct {
	// ID names the runner. A restarted runner may have the same ID.
	ID string
	// StartedAt is the start time. It distinguishes incarnations with the same ID.
	StartedAt time.Time
	Service   string
	// Version is the version of the runner's software.
	Version string
	Address string
	Zone    string
	Slots   int
	State   State
	// Reclaimable runners may be reclaimed, all reclaimable runners of a zone at once.
	Reclaimable bool
	// LeavesIn is the time from the record to the end of the runner, or zero if the
	// record does not state it.
	LeavesIn time.Duration
	// Sequence increases with each record of an incarnation.
	Sequence uint64
}

// WithSequence returns a copy with another sequence number.
func (r Runner) WithSequence(sequence uint64) Runner {
	r.Sequence = sequence
	return r
}

// sameState reports whether both records describe the same runner in the same state.
func (r Runner) sameState(other Runner) bool {
	return r.WithSequence(0) == other.WithSequence(0)
}

// isOlderThan reports whether the record was written before another one of the same
// runner.
func (r Runner) isOlderThan(other Runner) bool {
	if !r.StartedAt.Equal(other.StartedAt) {
		return r.StartedAt.Before(other.StartedAt)
	}
	return r.Sequence < other.Sequence
}

// Incarnation identifies one start of a runner. Incarnations can be compared with ==.
type Incarnation struct {
	ID string
	// StartedAt is in Unix milliseconds, the unit of the records.
	StartedAt int64
	Address   string
	Service   string
}

// Hash returns a hash of the incarnation that is the same at all daemons.
func (i Incarnation) Hash() uint64 {
	digest := xxhash.New()
	for _, part := range []string{i.ID, strconv.FormatInt(i.StartedAt, 10), i.Address, i.Service} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// Incarnation returns the incarnation that the runner describes.
func (r Runner) Incarnation() Incarnation {
	return Incarnation{ID: r.ID, StartedAt: r.StartedAt.UnixMilli(), Address: r.Address, Service: r.Service}
}

// SameIncarnation reports whether both describe the same incarnation of a runner.
func (r Runner) SameIncarnation(other Runner) bool { return r.Incarnation() == other.Incarnation() }
