package retry

import (
	"slices"
	"sync"
	"time"
)

// WindowOptions bounds the retries of requests for one service over all daemons.
type WindowOptions struct {
	// Length is the length of the sliding window in which retries are counted.
	Length time.Duration
	// Ratio is the number of retries allowed for each request in a window.
	Ratio float64
	// Slack is the number of retries allowed in a window regardless of requests.
	Slack float64
	// SafetyFactor is the fraction of the allowed retries that is used. The rest is a
	// margin, so that small counting errors do not break the bound.
	SafetyFactor float64
}

// Window bounds the retries in every sliding window. The daemons divide the slack
// evenly. It is safe for concurrent use.
type Window struct {
	options WindowOptions

	mutex    sync.Mutex
	requests []time.Time
	retries  []time.Time
}

// NewWindow returns an empty window.
func NewWindow(options WindowOptions) *Window { return &Window{options: options} }

// RecordRequest records a request.
func (w *Window) RecordRequest(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.requests = append(trim(w.requests, now, w.options.Length), now)
}

// AllowRetry takes one retry from the window of this daemon, one of the given number of
// daemons. It returns false if none is left.
func (w *Window) AllowRetry(daemons int, now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.requests = trim(w.requests, now, w.options.Length)
	w.retries = trim(w.retries, now, w.options.Length)
	slack := w.options.Slack / float64(max(daemons, 1))
	allowed := w.options.SafetyFactor * (w.options.Ratio*float64(len(w.requests)) + slack)
	if float64(len(w.retries)+1) > allowed {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}

// ReturnRetry returns a retry that AllowRetry granted at the given time and that was not
// made. It has no effect if that time has left the window.
func (w *Window) ReturnRetry(granted time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for i, retry := range w.retries {
		if retry.Equal(granted) {
			w.retries = slices.Delete(w.retries, i, i+1)
			return
		}
	}
}

// trim drops the times that have left the window.
func trim(times []time.Time, now time.Time, length time.Duration) []time.Time {
	first := 0
	for first < len(times) && now.Sub(times[first]) >= length {
		first++
	}
	return times[first:]
}
