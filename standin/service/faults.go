package service

import (
	"net/http"

	"github.com/cranberrywalk/cranberrywalk/standin"
)

// Fault is how a request fails.
type Fault string

// The faults of a service.
const (
	FaultNone Fault = ""
	// FaultLoseResponse runs the request and closes the connection without a
	// response.
	FaultLoseResponse Fault = "LoseAnswer"
	// FaultTruncate runs the request and sends half of the response body.
	FaultTruncate Fault = "Truncate"
	// FaultSilent runs the request and never responds.
	FaultSilent Fault = "Silent"
	// FaultCross runs the request and responds with the ID of another
	// request.
	FaultCross Fault = "Cross"
	// FaultRepeatRefusal runs the request and responds with the refusal of another
	// request.
	FaultRepeatRefusal Fault = "RepeatRefusal"
	// FaultRefuse responds with 503 and does not run the request.
	FaultRefuse Fault = "Refuse"
)

// Faults are the active faults.
type Faults struct {
	standin.CountedFault[Fault]
	// Delay is added to the time that each request takes to run.
	Delay standin.Duration
}

// nextFault returns the fault for one request.
func (s *Service) nextFault() Fault {
	var hit Fault
	s.faults.Update(func(faults *Faults) { hit = faults.Take() })
	return hit
}

// respond writes the response as the fault prescribes.
func (s *Service) respond(w http.ResponseWriter, r *http.Request, fault Fault, response Response) {
	id := r.Header.Get("X-Request-Id")
	switch fault {
	case FaultLoseResponse:
		standin.Abort()
	case FaultSilent:
		standin.Hang(r)
	case FaultCross, FaultRepeatRefusal:
		id = "foreign-" + id
	}
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if fault == FaultRepeatRefusal {
		refuse(w)
		return
	}
	if fault == FaultTruncate {
		standin.RespondTruncated(w, response)
	}
	standin.Respond(w, http.StatusOK, response)
}

// refuse responds with the refusal of a request.
func refuse(w http.ResponseWriter) {
	http.Error(w, "the service refuses requests", http.StatusServiceUnavailable)
}
