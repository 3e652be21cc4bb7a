package claim

import "time"

// refusedGrain is how finely the times of refused claims are kept.
const refusedGrain = time.Second

// touch is one claim of the window.
type touch struct {
	time time.Time
	key  [keyBytes]byte
}

// refusal counts the refused claims that share a time.
type refusal struct {
	time  time.Time
	count int
}

// window holds the times of the claims within the last lifetime, refused
// ones included, so that the count depends on no older record.
type window struct {
	// touches and refusals are ordered by time.
	touches  []touch
	refusals []refusal
	// count is the number of claims in touches and refusals.
	count int
}

func (w *window) add(now time.Time, key [keyBytes]byte) {
	w.touches = append(w.touches, touch{time: now, key: key})
	w.count++
}

// addRefused counts a claim under its time rounded up, which bounds the
// memory for refused claims.
func (w *window) addRefused(now time.Time) {
	rounded := now.Truncate(refusedGrain).Add(refusedGrain)
	w.count++
	if last := len(w.refusals) - 1; last >= 0 && w.refusals[last].time.Equal(rounded) {
		w.refusals[last].count++
		return
	}
	w.refusals = append(w.refusals, refusal{time: rounded, count: 1})
}

// expire removes the claims that are a lifetime old and returns their keys.
func (w *window) expire(now time.Time, lifetime time.Duration) [][keyBytes]byte {
	var keys [][keyBytes]byte
	for len(w.touches) > 0 && now.Sub(w.touches[0].time) >= lifetime {
		keys = append(keys, w.touches[0].key)
		w.touches = w.touches[1:]
		w.count--
	}
	for len(w.refusals) > 0 && now.Sub(w.refusals[0].time) >= lifetime {
		w.count -= w.refusals[0].count
		w.refusals = w.refusals[1:]
	}
	return keys
}
