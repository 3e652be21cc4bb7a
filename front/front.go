// Package front is the HTTP interface for callers. It turns an HTTP request
// into a request of the core, checks it against the plans in force and
// writes the answer or a problem.
package front

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/oklog/ulid/v2"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/plan"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Configuration gives the plans in force.
type Configuration interface {
	// State returns false until a configuration has been read.
	State() (plan.State, bool)
}

// Dispatcher carries a request to its end.
type Dispatcher interface {
	Do(ctx context.Context, r request.Request, w dispatch.Writer) dispatch.Result
}

// Admitter enforces the limits of plans.
type Admitter interface {
	// Admit counts a request of the plan, or returns a *limit.ExceededError.
	Admit(p plan.Plan, tokens int, now time.Time) error
}

// Options bound what callers may send.
type Options struct {
	MaxBodyBytes int
	// MaxHeaderBytes bounds the names and values of all header fields.
	MaxHeaderBytes  int
	MaxInFlight     int
	DefaultDeadline time.Duration
}

// Front answers callers.
type Front struct {
	telemetry.Common
	options       Options
	configuration Configuration
	admitter      Admitter
	dispatcher    Dispatcher
	// inFlight never exceeds options.MaxInFlight.
	inFlight atomic.Int64
}

// New returns a front that hands requests to the dispatcher.
func New(common telemetry.Common, options Options, configuration Configuration, admitter Admitter, dispatcher Dispatcher) *Front {
	return &Front{
		Common:        common,
		options:       options,
		configuration: configuration,
		admitter:      admitter,
		dispatcher:    dispatcher,
	}
}

// Handler returns the routes for callers.
func (f *Front) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/chat/completions", f.handle(request.Chat))
	router.Post("/v1/completions", f.handle(request.Completion))
	router.HandleFunc("/services/{Service}", f.handle(request.Service))
	router.HandleFunc("/services/{Service}/*", f.handle(request.Service))
	router.NotFound(f.refuse(&RouteError{}))
	router.MethodNotAllowed(f.refuse(&MethodError{}))
	return router
}

// refuse answers requests that no route takes.
func (f *Front) refuse(err error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.writeRefusal(w, r, err, ulid.Make().String())
	}
}

func (f *Front) handle(kind request.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := ulid.Make().String()
		if err := f.enter(); err != nil {
			f.writeRefusal(w, r, err, id)
			return
		}
		defer f.inFlight.Add(-1)
		if err := f.checkHeader(r.Header); err != nil {
			f.writeRefusal(w, r, err, id)
			return
		}
		accepted, err := f.accept(id, kind, r)
		if err != nil {
			f.writeRefusal(w, r, err, id)
			return
		}
		f.serve(w, r, accepted)
	}
}

// enter counts a request in flight.
func (f *Front) enter() error {
	if f.inFlight.Add(1) > int64(f.options.MaxInFlight) {
		f.inFlight.Add(-1)
		return &BusyError{Limit: f.options.MaxInFlight}
	}
	return nil
}

func (f *Front) checkHeader(header http.Header) error {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size > f.options.MaxHeaderBytes {
		return &HeaderTooLargeError{Limit: f.options.MaxHeaderBytes}
	}
	return nil
}

// serve carries an accepted request to its end.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, accepted request.Request) {
	writer := &answerWriter{response: w, requestID: accepted.ID, isStream: accepted.Stream}
	result := f.dispatcher.Do(r.Context(), accepted, writer)
	f.Count("Front.Outcome."+result.Outcome.String(), 1)
}

// writeRefusal answers a request that was not dispatched. Under a key, an
// earlier sending may have been run by another daemon.
func (f *Front) writeRefusal(w http.ResponseWriter, r *http.Request, err error, id string) {
	p := problemOf(err)
	if len(r.Header.Values(headerIdempotencyKey)) > 0 {
		p.Outcome = request.Unknown.String()
	}
	f.Count("Front.Problem."+p.Type, 1)
	p.RequestID = id
	p.write(w)
}
