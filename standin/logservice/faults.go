package logservice

import (
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/standin"
)

// Outage is the kind of requests that an outage of the log affects.
type Outage string

// The kinds of outages.
const (
	OutageNone    Outage = ""
	OutageAll     Outage = "All"
	OutageAppends Outage = "Appends"
	OutageReads   Outage = "Reads"
)

// Faults are the faults of the log service.
type Faults struct {
	// Outage selects the requests that fail.
	Outage Outage
	// Hang leaves the requests that an outage affects without a response.
	// Otherwise they are refused with status 503.
	Hang bool
	// Delay is added to every request.
	Delay standin.Duration
	// LoseAnswers is the number of following appends that take effect while
	// their responses are lost.
	LoseAnswers int
}

// takeLostResponse returns whether the response to an append is lost, and
// decrements LoseAnswers if so.
func (l *Log) takeLostResponse() bool {
	lost := false
	l.faults.Update(func(faults *Faults) {
		lost = faults.LoseAnswers > 0
		if lost {
			faults.LoseAnswers--
		}
	})
	return lost
}

// applyFaults applies the delay and the outage to a request of one kind. It returns
// false when the request has been refused.
func (l *Log) applyFaults(w http.ResponseWriter, r *http.Request, kind Outage) bool {
	faults := l.faults.Get()
	if faults.Delay > 0 {
		if err := clock.Sleep(r.Context(), l.clock, time.Duration(faults.Delay)); err != nil {
			standin.Abort()
		}
	}
	if faults.Outage != OutageAll && faults.Outage != kind {
		return true
	}
	if faults.Hang {
		standin.Hang(r)
	}
	http.Error(w, "the log has an outage", http.StatusServiceUnavailable)
	return false
}
