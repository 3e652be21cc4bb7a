package grant

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// Range is the number of a key range.
type Range uint16

// RangeCount is how many ranges the keys are divided into. It is the same at all
// daemons and never changes.
const RangeCount = 1024

// RangeOf returns the range of a key.
func RangeOf(key claim.Key) Range { return Range(xxhash.Sum64String(string(key)) % RangeCount) }

// Preferred returns the daemon that a range should belong to, by rendezvous
// hashing: when a daemon joins or leaves, only its own ranges move. It returns
// "" when there are no daemons.
func Preferred(r Range, daemons []string) string {
	best, highest := "", uint64(0)
	for _, daemon := range daemons {
		score := xxhash.Sum64String(strconv.Itoa(int(r)) + "/" + daemon)
		if best == "" || score > highest || (score == highest && daemon < best) {
			best, highest = daemon, score
		}
	}
	return best
}

// Grant is the ownership of a range: its owner decides the claims of keys in the
// range.
type Grant struct {
	Range Range
	// Daemon is empty when the range has no owner.
	Daemon      string
	Incarnation string
	// Number identifies the grant, or the release that left the range without
	// an owner: one more than the offset of its record, and 0 before the first.
	Number uint64
	// HoleUntil is when the last claim expires, by the log's clock, that a dead
	// previous owner may have held in memory without a record in the log. Until
	// then the range has a hole: it is unknown which of its requests have run,
	// and no claim wins a key that the state does not hold.
	HoleUntil time.Time
}

// IsOwnedBy reports whether the process owns the range.
func (g Grant) IsOwnedBy(daemon, incarnation string) bool {
	return g.Daemon != "" && g.Daemon == daemon && g.Incarnation == incarnation
}
