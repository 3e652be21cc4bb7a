// Package service is a stand-in for a plain service. It counts every request that
// it runs.
package service

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/standin"
)

const maxBodyBytes = 1 << 20

// Parameters describe the service.
type Parameters struct {
	// Name is sent in every response.
	Name string
	// Delay is the time that each request takes to run.
	Delay time.Duration
}

// Response is the body of every response.
type Response struct {
	Service string
	Method  string
	Path    string
	// Run is the number of this run among all runs of the service.
	Run int
	// Body is the request body.
	Body string
}

// Service is the simulated service. It is an http.Handler.
type Service struct {
	chi.Router
	clock      clock.Clock
	parameters Parameters
	faults     standin.Faults[Faults]
	runs       standin.RunCounter
	running    atomic.Int64
}

// New returns a service with all counts at zero.
func New(c clock.Clock, parameters Parameters) *Service {
	s := &Service{Router: chi.NewRouter(), clock: c, parameters: parameters}
	s.Handle("/control/runs", &s.runs)
	s.Handle("/control/faults", &s.faults)
	s.Get("/engine/load", s.load)
	s.HandleFunc("/*", s.handle)
	return s
}

// SetFaults replaces the active faults.
func (s *Service) SetFaults(faults Faults) { s.faults.Set(faults) }

// Runs returns a copy of the run counts.
func (s *Service) Runs() standin.Runs { return s.runs.Runs() }

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	standin.Respond(w, http.StatusOK, hosting.LoadReport{
		Running: int(s.running.Load()),
		Time:    s.clock.Now(),
	})
}

// handle runs a request. A refused request is not counted.
func (s *Service) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault := s.nextFault()
	if fault == FaultRefuse {
		refuse(w)
		return
	}
	run := s.runs.Record(r, s.clock.Now())
	s.running.Add(1)
	defer s.running.Add(-1)
	if delay := s.parameters.Delay + time.Duration(s.faults.Get().Delay); delay > 0 {
		// The request has run even if the caller disconnects meanwhile.
		_ = clock.Sleep(r.Context(), s.clock, delay)
	}
	s.respond(w, r, fault, Response{
		Service: s.parameters.Name, Method: r.Method, Path: r.URL.Path, Run: run, Body: string(body),
	})
}
