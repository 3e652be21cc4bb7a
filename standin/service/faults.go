package service

import (
	"net/http"

	"github.com/cranberrywalk/cranberrywalk/standin"
)

// Fault is what goes wrong with a request.
type Fault string

// The faults of a service.
const (
	FaultNone Fault = ""
	// FaultLoseAnswer runs the request and closes the connection.
	FaultLoseAnswer Fault = "LoseAnswer"
	// FaultTruncate runs the request and sends half of the answer.
	FaultTruncate Fault = "Truncate"
	// FaultSilent runs the request and never answers.
	FaultSilent Fault = "Silent"
	// FaultCross runs the request and answers with a foreign identity.
	FaultCross Fault = "Cross"
	// FaultRefuse answers 503 and does not run the request.
	FaultRefuse Fault = "Refuse"
)

// Faults are the faults that are switched on.
type Faults struct {
	standin.Counted[Fault]
	// Delay is added to the time that each request takes to run.
	Delay standin.Duration
}

// nextFault returns the fault for one request.
func (s *Service) nextFault() Fault {
	var hit Fault
	s.faults.Update(func(faults *Faults) { hit = faults.Take() })
	return hit
}

// answer writes the answer, as far as the fault lets it.
func (s *Service) answer(w http.ResponseWriter, r *http.Request, fault Fault, answer Answer) {
	id := r.Header.Get("X-Request-Id")
	switch fault {
	case FaultLoseAnswer:
		standin.Abort()
	case FaultSilent:
		standin.Hang(r)
	case FaultCross:
		id = "foreign-" + id
	}
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if fault == FaultTruncate {
		standin.RespondTruncated(w, answer)
	}
	standin.Respond(w, http.StatusOK, answer)
}
