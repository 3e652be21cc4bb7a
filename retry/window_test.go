package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/retry"
)

// All requests at all daemons fail and ask for a retry: no sliding window may have
// more retries than allowed, over all daemons.
func TestRetryStormStaysBoundedInEveryWindow(t *testing.T) {
	c := qt.New(t)
	const daemons = 7
	options := retry.WindowOptions{Length: 10 * time.Second, Ratio: 0.2, Slack: 54, SafetyFactor: 0.7}
	var windows []*retry.Window
	for range daemons {
		windows = append(windows, retry.NewWindow(options))
	}
	var retries, requests []time.Time
	now := time.Unix(1000, 0)
	for range 3000 {
		for _, w := range windows {
			w.RecordRequest(now)
			requests = append(requests, now)
			if w.AllowRetry(daemons, now) {
				retries = append(retries, now)
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	countFrom := func(times []time.Time, first time.Time) int {
		count := 0
		for _, at := range times {
			if !at.Before(first) && at.Sub(first) < options.Length {
				count++
			}
		}
		return count
	}
	for first := time.Unix(1000, 0); first.Before(now.Add(-options.Length)); first = first.Add(time.Second) {
		allowed := options.Ratio*float64(countFrom(requests, first)) + options.Slack
		c.Check(float64(countFrom(retries, first)) <= allowed, qt.IsTrue)
	}
	c.Check(len(retries) > 1000, qt.IsTrue, qt.Commentf("%d retries", len(retries)))
}

// TestReturnedRetryIsGrantedAgain guards against a window that is used up by retries that
// were granted but not made, and against returns that raise the bound.
func TestReturnedRetryIsGrantedAgain(t *testing.T) {
	c := qt.New(t)
	window := retry.NewWindow(retry.WindowOptions{Length: 10 * time.Second, Slack: 2, SafetyFactor: 1})
	start := time.Unix(1000, 0)
	c.Assert(window.AllowRetry(1, start), qt.IsTrue)
	c.Assert(window.AllowRetry(1, start.Add(time.Second)), qt.IsTrue)
	c.Assert(window.AllowRetry(1, start.Add(2*time.Second)), qt.IsFalse)
	window.ReturnRetry(start)
	window.ReturnRetry(start)
	c.Check(window.AllowRetry(1, start.Add(2*time.Second)), qt.IsTrue)
	c.Check(window.AllowRetry(1, start.Add(2*time.Second)), qt.IsFalse)
}
