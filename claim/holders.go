package claim

import "time"

// holder is the winning claim of a key. Times are log times in nanoseconds
// since 1970, which keeps a holder small.
type holder struct {
	producer    *producer
	number      uint64
	fingerprint uint64
	// wonAt is when the claim was applied.
	wonAt int64
	// lastClaimAt is the time of the last claim of the key.
	lastClaimAt int64
	// queuedAt is the time of the key's valid entry in the queue.
	queuedAt int64
}

// expiryEntry is a key to check for expiry one lifetime after time.
type expiryEntry struct {
	time int64
	key  [keyBytes]byte
}

// holders maps each claimed key to its winner. find does not return a holder
// whose lifetime has passed; expire removes it within one more lifetime.
type holders struct {
	lifetime time.Duration
	byKey    map[[keyBytes]byte]holder
	// queue is ordered by time. It has one valid entry for each key, whose time
	// equals queuedAt of the holder; expire ignores all other entries.
	queue []expiryEntry
}

func newHolders(lifetime time.Duration) holders {
	return holders{lifetime: lifetime, byKey: make(map[[keyBytes]byte]holder)}
}

// find returns the holder of a key as of now.
func (h *holders) find(key [keyBytes]byte, now time.Time) (holder, bool) {
	current, found := h.byKey[key]
	return current, found && !h.hasExpired(current.lastClaimAt, now)
}

// add inserts the holder of an unclaimed key.
func (h *holders) add(key [keyBytes]byte, winner holder, now time.Time) holder {
	at := now.UnixNano()
	winner.wonAt, winner.lastClaimAt, winner.queuedAt = at, at, at
	h.byKey[key] = winner
	h.queue = append(h.queue, expiryEntry{time: at, key: key})
	return winner
}

// renew restarts the lifetime of a claimed key.
func (h *holders) renew(key [keyBytes]byte, current holder, now time.Time) {
	current.lastClaimAt = now.UnixNano()
	h.byKey[key] = current
}

// remove makes a key claimable again.
func (h *holders) remove(key [keyBytes]byte) { delete(h.byKey, key) }

// expire handles the queue entries that are due: it removes the holders whose
// lifetime has passed, and queues those again whose lifetime was renewed.
func (h *holders) expire(now time.Time) {
	for len(h.queue) > 0 && h.hasExpired(h.queue[0].time, now) {
		next := h.queue[0]
		h.queue = h.queue[1:]
		current, found := h.byKey[next.key]
		switch {
		case !found || current.queuedAt != next.time:
		case h.hasExpired(current.lastClaimAt, now):
			h.remove(next.key)
		default:
			current.queuedAt = now.UnixNano()
			h.byKey[next.key] = current
			h.queue = append(h.queue, expiryEntry{time: current.queuedAt, key: next.key})
		}
	}
}

func (h *holders) hasExpired(since int64, now time.Time) bool {
	return now.UnixNano()-since >= int64(h.lifetime)
}

func (h holder) claim(key Key) Claim {
	return Claim{
		Key:         key,
		Daemon:      h.producer.name.daemon,
		Incarnation: h.producer.name.incarnation,
		Number:      h.number,
		Fingerprint: h.fingerprint,
		Time:        time.Unix(0, h.wonAt).UTC(),
	}
}
