package claim

import "time"

// bucketsPerLifetime is the number of buckets of the window in one lifetime.
const bucketsPerLifetime = 4096

// bucket counts the claims of one time interval.
type bucket struct {
	// end is the end of the interval; the claims count until a lifetime later.
	end   time.Time
	count int
}

// window counts the claims of the last lifetime. It counts won, lost and
// refused claims alike, by their rounded times, so that the count depends only
// on the records of the last lifetime and not on how a state decided them.
type window struct {
	lifetime time.Duration
	// buckets are ordered by time.
	buckets []bucket
	// count is the sum over buckets.
	count int
}

func (w *window) add(now time.Time) {
	width := max(w.lifetime/bucketsPerLifetime, time.Nanosecond)
	end := now.Truncate(width).Add(width)
	w.count++
	if last := len(w.buckets) - 1; last >= 0 && w.buckets[last].end.Equal(end) {
		w.buckets[last].count++
		return
	}
	w.buckets = append(w.buckets, bucket{end: end, count: 1})
}

// expire drops the claims that are a lifetime old.
func (w *window) expire(now time.Time) {
	for len(w.buckets) > 0 && now.Sub(w.buckets[0].end) >= w.lifetime {
		w.count -= w.buckets[0].count
		w.buckets = w.buckets[1:]
	}
}
