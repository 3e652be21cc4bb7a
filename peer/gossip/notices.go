package gossip

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// LeavingLifetime is the minimum time for which a leaving notice is spread after
// its deadline, or after its announcement when it has no deadline.
const LeavingLifetime = 10 * time.Minute

// suspectKey identifies the crashes that one daemon saw of one request.
type suspectKey struct {
	fingerprint uint64
	reporter    string
}

// notices holds the facts that spread to all daemons of all zones and regions.
// They are few, and merging them is commutative and idempotent.
type notices struct {
	leaving  map[string]notice[Leaving]
	suspects map[suspectKey]notice[Suspect]
	// sequence is the local sequence number of the last notice stored.
	sequence uint64
}

// notice is a fact with its local sequence number, which orders the notices by
// when they were stored.
type notice[V any] struct {
	value    V
	sequence uint64
}

func newNotices() notices {
	return notices{
		leaving:  make(map[string]notice[Leaving]),
		suspects: make(map[suspectKey]notice[Suspect]),
	}
}

// announce stores a leaving notice that originates at this daemon and reports
// whether the VM or an earlier deadline is new.
func (n *notices) announce(leaving Leaving, now time.Time) bool {
	leaving.Deadline = truncateToMilliseconds(leaving.Deadline)
	old, known := n.leaving[leaving.VM]
	if known && !isEarlier(leaving.Deadline, old.value.Deadline) {
		return false
	}
	leaving.Expires = leavingExpiry(leaving.Deadline, now)
	return n.addLeaving(leaving, now)
}

// leavingExpiry returns when a notice expires. Rounding to multiples of the
// lifetime gives daemons that announce the same VM the same expiry.
func leavingExpiry(deadline, now time.Time) time.Time {
	from := now
	if deadline.After(now) {
		from = deadline
	}
	return from.Truncate(LeavingLifetime).Add(2 * LeavingLifetime)
}

// addLeaving stores a leaving notice and reports whether the VM or an earlier
// deadline is new. Merging keeps the earliest deadline and the latest expiry.
func (n *notices) addLeaving(leaving Leaving, now time.Time) bool {
	leaving.Deadline = truncateToMilliseconds(leaving.Deadline)
	leaving.Expires = truncateToMilliseconds(leaving.Expires)
	if !leaving.Expires.After(now) {
		return false
	}
	old, known := n.leaving[leaving.VM]
	earlier := isEarlier(leaving.Deadline, old.value.Deadline)
	if known {
		if !earlier {
			leaving.Deadline = old.value.Deadline
		}
		if old.value.Expires.After(leaving.Expires) {
			leaving.Expires = old.value.Expires
		}
		if leaving == old.value {
			return false
		}
	}
	n.sequence++
	n.leaving[leaving.VM] = notice[Leaving]{value: leaving, sequence: n.sequence}
	return !known || earlier
}

// addSuspect stores a suspect and reports whether it changed anything. Merging
// keeps the highest count and the latest expiry.
func (n *notices) addSuspect(suspect Suspect, now time.Time) bool {
	suspect.Expires = truncateToMilliseconds(suspect.Expires)
	if !suspect.Expires.After(now) {
		return false
	}
	key := suspectKey{fingerprint: suspect.Fingerprint, reporter: suspect.Reporter}
	old, known := n.suspects[key]
	if known {
		suspect.Crashes = max(suspect.Crashes, old.value.Crashes)
		if old.value.Expires.After(suspect.Expires) {
			suspect.Expires = old.value.Expires
		}
		if suspect == old.value {
			return false
		}
	}
	n.sequence++
	n.suspects[key] = notice[Suspect]{value: suspect, sequence: n.sequence}
	return true
}

// after returns the notices that were stored after the given sequence number.
func (n *notices) after(sequence uint64) ([]Leaving, []Suspect) {
	var leaving []Leaving
	for _, notice := range n.leaving {
		if notice.sequence > sequence {
			leaving = append(leaving, notice.value)
		}
	}
	var suspects []Suspect
	for _, notice := range n.suspects {
		if notice.sequence > sequence {
			suspects = append(suspects, notice.value)
		}
	}
	return leaving, suspects
}

// hash returns an order-independent hash of the notices: the sum of the hashes
// of each, 0 when there are none.
func (n *notices) hash() uint64 {
	var sum uint64
	for _, notice := range n.leaving {
		sum += hashFields(notice.value.VM, uint64(notice.value.Deadline.UnixMilli()),
			uint64(notice.value.Expires.UnixMilli()))
	}
	for key, notice := range n.suspects {
		sum += hashFields(key.reporter, key.fingerprint,
			uint64(notice.value.Expires.UnixMilli())^uint64(notice.value.Crashes)<<56)
	}
	return sum
}

func hashFields(name string, first, second uint64) uint64 {
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], first)
	binary.LittleEndian.PutUint64(numbers[8:], second)
	digest := xxhash.New()
	_, _ = digest.Write(numbers[:])
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// expire removes the notices whose expiry has passed.
func (n *notices) expire(now time.Time) {
	for vm, notice := range n.leaving {
		if !notice.value.Expires.After(now) {
			delete(n.leaving, vm)
		}
	}
	for key, notice := range n.suspects {
		if !notice.value.Expires.After(now) {
			delete(n.suspects, key)
		}
	}
}

// isEarlier reports whether deadline is set and is before known. A zero time is
// an unknown deadline, which is later than any other.
func isEarlier(deadline, known time.Time) bool {
	if deadline.IsZero() {
		return false
	}
	return known.IsZero() || deadline.Before(known)
}

// truncateToMilliseconds returns the time as a peer decodes it from a message,
// so that both sides compute the same hash.
func truncateToMilliseconds(t time.Time) time.Time {
	if t.IsZero() {
		return time.Time{}
	}
	return time.UnixMilli(t.UnixMilli()).UTC()
}
