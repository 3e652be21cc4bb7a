package route

import "time"

// The bounds of the Retry-After time of a refused call.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// retryAfter returns how long a refused caller should wait: the time in which the calls
// above the limit complete at the measured rate, plus a delay that spaces the refused
// callers at that rate, so that they do not retry at the same time. excess is the ratio
// of load to limit.
func (v *View) retryAfter(excess float64, now time.Time) time.Duration {
	if v.completionRate <= 0 {
		return minRetryAfter
	}
	var own float64
	for i := range v.slots {
		own += v.slots[i].own.inFlight
	}
	if v.lastRetryTime.Before(now) {
		v.lastRetryTime = now
	}
	v.lastRetryTime = v.lastRetryTime.Add(seconds(1 / v.completionRate))
	if last := now.Add(maxRetryAfter); v.lastRetryTime.After(last) {
		v.lastRetryTime = last
	}
	wait := v.lastRetryTime.Sub(now) + seconds(own*(1-1/excess)/v.completionRate)
	return min(max(wait.Round(time.Second), minRetryAfter), maxRetryAfter)
}

// seconds converts seconds into a duration of at most maxRetryAfter.
func seconds(number float64) time.Duration {
	return time.Duration(min(number, maxRetryAfter.Seconds()) * float64(time.Second))
}
