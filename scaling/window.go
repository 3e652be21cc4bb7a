package scaling

import "time"

// window holds numbers of runners at the moments of a recent time span, oldest first.
type window []need

// need is a number of runners at one moment.
type need struct {
	at      time.Time
	runners int
}

// add adds a number and drops those that are older than the length.
func (w *window) add(runners int, now time.Time, length time.Duration) {
	for len(*w) > 0 && now.Sub((*w)[0].at) >= length {
		*w = (*w)[1:]
	}
	*w = append(*w, need{at: now, runners: runners})
}

// peak returns the highest number, or zero if there is none.
func (w window) peak() int {
	peak := 0
	for _, n := range w {
		peak = max(peak, n.runners)
	}
	return peak
}
