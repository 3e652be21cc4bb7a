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
	// queuedAt is the time of the current queue entry of the key.
	queuedAt int64
}

// expiryEntry is a key to check for expiry one lifetime after time.
type expiryEntry struct {
	time int64
	key  [keyBytes]byte
}

// holders maps each claimed key to its winner. A holder whose lifetime has
// passed is not found, and is removed within one more lifetime.
type holders struct {
	lifetime time.Duration
	byKey    map[[keyBytes]byte]holder
	// queue is ordered by time and has one current entry for each key: the one
	// whose time is queuedAt of the holder.
	queue []expiryEntry
}

func newHolders(lifetime time.Duration) holders {
	return holders{lifetime: lifetime, byKey: make(map[[keyBytes]byte]holder)}
}

// find returns the holder of a key as of now.
func (h *holders) find(key [keyBytes]byte, now time.Time) (holder, bool) {
	held, found := h.byKey[key]
	return held, found && !h.hasExpired(held.lastClaimAt, now)
}

// add inserts the holder of an unclaimed key.
func (h *holders) add(key [keyBytes]byte, won holder, now time.Time) holder {
	at := now.UnixNano()
	won.wonAt, won.lastClaimAt, won.queuedAt = at, at, at
	h.byKey[key] = won
	h.queue = append(h.queue, expiryEntry{time: at, key: key})
	return won
}

// renew restarts the lifetime of a claimed key.
func (h *holders) renew(key [keyBytes]byte, held holder, now time.Time) {
	held.lastClaimAt = now.UnixNano()
	h.byKey[key] = held
}

// remove makes a key claimable again.
func (h *holders) remove(key [keyBytes]byte) { delete(h.byKey, key) }

// expire removes the holders whose queue entry is due and whose lifetime has
// passed. The others are queued again.
func (h *holders) expire(now time.Time) {
	for len(h.queue) > 0 && h.hasExpired(h.queue[0].time, now) {
		next := h.queue[0]
		h.queue = h.queue[1:]
		held, found := h.byKey[next.key]
		switch {
		case !found || held.queuedAt != next.time:
		case h.hasExpired(held.lastClaimAt, now):
			h.remove(next.key)
		default:
			held.queuedAt = now.UnixNano()
			h.byKey[next.key] = held
			h.queue = append(h.queue, expiryEntry{time: held.queuedAt, key: next.key})
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
