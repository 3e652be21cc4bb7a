package route

import "time"

// The bounds of the time after which a refused caller is asked to come back.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// retryAfter returns when a refused caller is to come back. The measured rate
// of ended calls first drains the streams above the limit, of which excess is
// the ratio of load to limit, and then gives each refused caller a turn, so
// that they do not come back together.
func (v *View) retryAfter(excess float64, now time.Time) time.Duration {
	if v.drained <= 0 {
		return minRetryAfter
	}
	var own float64
	for i := range v.slots {
		own += v.slots[i].own.streams
	}
	if v.turnAt.Before(now) {
		v.turnAt = now
	}
	v.turnAt = v.turnAt.Add(seconds(1 / v.drained))
	if last := now.Add(maxRetryAfter); v.turnAt.After(last) {
		v.turnAt = last
	}
	wait := v.turnAt.Sub(now) + seconds(own*(1-1/excess)/v.drained)
	return min(max(wait.Round(time.Second), minRetryAfter), maxRetryAfter)
}

// seconds turns a number of seconds into a duration of at most maxRetryAfter.
func seconds(number float64) time.Duration {
	return time.Duration(min(number, maxRetryAfter.Seconds()) * float64(time.Second))
}
