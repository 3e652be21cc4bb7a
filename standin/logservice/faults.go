package logservice

import (
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/standin"
)

// Outage says which requests an outage of the log hits.
type Outage string

// The extents of an outage.
const (
	OutageNone    Outage = ""
	OutageAll     Outage = "All"
	OutageAppends Outage = "Appends"
	OutageReads   Outage = "Reads"
)

// Faults are the faults of the log service.
type Faults struct {
	// Outage says which requests fail.
	Outage Outage
	// Hang makes the requests that an outage hits wait without an answer.
	// Otherwise they are refused with status 503.
	Hang bool
	// Delay is added to every request.
	Delay standin.Duration
	// LoseAnswers is the number of following appends that take effect while
	// their answers are lost.
	LoseAnswers int
}

// losesAnswer tells whether the answer to an append is lost.
func (l *Log) losesAnswer() bool {
	lost := false
	l.faults.Update(func(faults *Faults) {
		lost = faults.LoseAnswers > 0
		if lost {
			faults.LoseAnswers--
		}
	})
	return lost
}

// pass applies the outage and the delay to a request of one kind. It returns
// false when the request has been answered.
func (l *Log) pass(w http.ResponseWriter, r *http.Request, kind Outage) bool {
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
