package retry

import (
	"sync"
	"time"
)

// WindowOptions bounds the repeats of requests for one service over all
// daemons.
type WindowOptions struct {
	// Length is that of the sliding window in which repeats are counted.
	Length time.Duration
	// Ratio is the number of repeats that each request in a window allows.
	Ratio float64
	// Slack is the number of repeats that a window allows in any case.
	Slack float64
	// Share is the part of both that is used, so that counts which are a
	// little off break no bound.
	Share float64
}

// Window bounds repeats in every sliding window. Daemons divide the slack. It
// is safe for use by several goroutines.
type Window struct {
	options WindowOptions

	mutex    sync.Mutex
	requests []time.Time
	repeats  []time.Time
}

// NewWindow returns an empty window.
func NewWindow(options WindowOptions) *Window { return &Window{options: options} }

// Note counts a request.
func (w *Window) Note(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.requests = append(trim(w.requests, now, w.options.Length), now)
}

// Take grants a repeat to one of a number of daemons, or returns false.
func (w *Window) Take(daemons int, now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.requests = trim(w.requests, now, w.options.Length)
	w.repeats = trim(w.repeats, now, w.options.Length)
	slack := w.options.Slack / float64(max(daemons, 1))
	allowed := w.options.Share * (w.options.Ratio*float64(len(w.requests)) + slack)
	if float64(len(w.repeats)+1) > allowed {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

// trim drops the times that are older than a window.
func trim(times []time.Time, now time.Time, length time.Duration) []time.Time {
	first := 0
	for first < len(times) && now.Sub(times[first]) >= length {
		first++
	}
	return times[first:]
}
