package gateway

import (
	"fmt"
	"time"
)

// StopError reports that the daemon may stop before a request ends.
type StopError struct {
	// TimeLeft is the time until the stop ends all requests, and Wanted that until the
	// deadline of the request.
	TimeLeft, Wanted time.Duration
}

// Error implements error.
func (e *StopError) Error() string {
	return fmt.Sprintf("the daemon stops in %v, the request may take %v", e.TimeLeft, e.Wanted)
}

// Drain begins the part of a planned stop in which callers are not routed to this daemon any
// more. At end the requests under way are ended. From now on, requests that may take longer are
// refused: another daemon can serve them whole.
func (g *Gateway) Drain(end time.Time) { g.stopEnd.Store(&end) }

// checkStop refuses a request that may not have ended when the daemon stops.
func (x *exchange) checkStop() *Refusal {
	end := x.stopEnd.Load()
	if end == nil || !x.deadline.After(*end) {
		return nil
	}
	now := x.Clock.Now()
	return unavailable("Stopping", retryAfterStop, &StopError{TimeLeft: end.Sub(now), Wanted: x.timeLeft(now)})
}
