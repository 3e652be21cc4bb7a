package admission

import "time"

// historyLength is the number of values that a history keeps: those of 1.6 s at the default refresh
// interval.
const historyLength = 16

// history holds the last values of the admitted share and until when each was in force.
type history struct {
	values [historyLength]float64
	ends   [historyLength]time.Time
	next   int
}

// add adds the value that was in force until now.
func (h *history) add(value float64, now time.Time) {
	h.values[h.next], h.ends[h.next] = value, now
	h.next = (h.next + 1) % historyLength
}

// mean returns the mean of the values that were in force within an age, or 1 if there is none.
func (h *history) mean(now time.Time, age time.Duration) float64 {
	sum, count := 0.0, 0
	for i, end := range h.ends {
		if !end.IsZero() && now.Sub(end) < age {
			sum += h.values[i]
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return sum / float64(count)
}
