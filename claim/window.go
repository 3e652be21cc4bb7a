package claim

import "time"

// windowGrains is how many buckets of the window make up a lifetime.
const windowGrains = 4096

// bucket counts the claims of one grain of time.
type bucket struct {
	// end is the end of the grain; the claims count until a lifetime later.
	end   time.Time
	count int
}

// window counts the claims of the last lifetime. It counts won, lost and
// refused ones alike, by their rounded times, so that the count depends on
// the records of that time only and not on what a book made of them.
type window struct {
	lifetime time.Duration
	// buckets are ordered by time.
	buckets []bucket
	// count is the sum over buckets.
	count int
}

func (w *window) add(now time.Time) {
	grain := max(w.lifetime/windowGrains, time.Nanosecond)
	end := now.Truncate(grain).Add(grain)
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
