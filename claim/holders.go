package claim

import "time"

// holder is the winning claim of a key. Times are log times in nanoseconds
// since 1970, which keeps a holder small.
type holder struct {
	producer    *producer
	number      uint64
	fingerprint uint64
	// won is when the claim was folded.
	won int64
	// touched is the time of the last claim of the key.
	touched int64
	// queued is the time under which the key stands in the queue.
	queued int64
}

// queued is a key that is to be looked at when a lifetime has passed.
type queued struct {
	time int64
	key  [keyBytes]byte
}

// holders has the winner of each key that is not open. A holder that has
// outlived its lifetime is not found, and is removed within another one.
type holders struct {
	lifetime time.Duration
	byKey    map[[keyBytes]byte]holder
	// queue is ordered by time and has one current element for each key:
	// the one whose time is the holder's queued.
	queue []queued
}

func newHolders(lifetime time.Duration) holders {
	return holders{lifetime: lifetime, byKey: make(map[[keyBytes]byte]holder)}
}

// find returns the holder of a key as of now.
func (h *holders) find(key [keyBytes]byte, now time.Time) (holder, bool) {
	held, found := h.byKey[key]
	return held, found && !h.hasPassed(held.touched, now)
}

// win enters a holder for an open key.
func (h *holders) win(key [keyBytes]byte, won holder, now time.Time) holder {
	at := now.UnixNano()
	won.won, won.touched, won.queued = at, at, at
	h.byKey[key] = won
	h.queue = append(h.queue, queued{time: at, key: key})
	return won
}

// touch starts the lifetime of a held key again.
func (h *holders) touch(key [keyBytes]byte, held holder, now time.Time) {
	held.touched = now.UnixNano()
	h.byKey[key] = held
}

// remove opens a key.
func (h *holders) remove(key [keyBytes]byte) { delete(h.byKey, key) }

// expire removes the holders whose turn in the queue has come and whose
// lifetime has passed. The others are queued once more.
func (h *holders) expire(now time.Time) {
	for len(h.queue) > 0 && h.hasPassed(h.queue[0].time, now) {
		next := h.queue[0]
		h.queue = h.queue[1:]
		held, found := h.byKey[next.key]
		switch {
		case !found || held.queued != next.time:
		case h.hasPassed(held.touched, now):
			h.remove(next.key)
		default:
			held.queued = now.UnixNano()
			h.byKey[next.key] = held
			h.queue = append(h.queue, queued{time: held.queued, key: next.key})
		}
	}
}

func (h *holders) hasPassed(since int64, now time.Time) bool {
	return now.UnixNano()-since >= int64(h.lifetime)
}

func (h holder) claim(key Key) Claim {
	return Claim{
		Key:         key,
		Daemon:      h.producer.name.daemon,
		Incarnation: h.producer.name.incarnation,
		Number:      h.number,
		Fingerprint: h.fingerprint,
		Time:        time.Unix(0, h.won).UTC(),
	}
}
