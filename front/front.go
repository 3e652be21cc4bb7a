// Package front implements the HTTP API for callers. It parses and authenticates
// requests, checks them against the plans in force, hands them to a dispatcher and
// writes the answers or problems.
package front

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/oklog/ulid/v2"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/plan"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Configuration provides the plans in force.
type Configuration interface {
	// State returns false until a configuration has been read.
	State() (plan.State, bool)
}

// Dispatcher executes a request and writes its answer.
type Dispatcher interface {
	Do(ctx context.Context, r request.Request, w dispatch.Writer) dispatch.Result
}

// Admitter enforces the limits of plans.
type Admitter interface {
	// Admit counts a request against the plan's limits, or returns a
	// *limit.ExceededError.
	Admit(p plan.Plan, tokens int, now time.Time) error
}

// Options holds the limits for callers.
type Options struct {
	MaxBodyBytes int
	// MaxHeaderBytes bounds the total size of all header names and values.
	MaxHeaderBytes  int
	MaxInFlight     int
	DefaultDeadline time.Duration
	// BodyTimeout bounds the time to read a body; zero means no bound.
	BodyTimeout time.Duration
	// Bodies bounds the memory of all bodies; nil means no bound.
	Bodies *buffer.Bodies
}

// Front handles the requests of callers.
type Front struct {
	telemetry.Common
	options       Options
	configuration Configuration
	admitter      Admitter
	dispatcher    Dispatcher
	// inFlight never exceeds options.MaxInFlight.
	inFlight atomic.Int64
}

// New returns a front that passes accepted requests to the dispatcher.
func New(common telemetry.Common, options Options, configuration Configuration, admitter Admitter, dispatcher Dispatcher) *Front {
	return &Front{
		Common:        common,
		options:       options,
		configuration: configuration,
		admitter:      admitter,
		dispatcher:    dispatcher,
	}
}

// Handler returns the handler for all paths of the API.
func (f *Front) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/chat/completions", f.handle(request.Chat))
	router.Post("/v1/completions", f.handle(request.Completion))
	router.HandleFunc("/services/{Service}", f.handle(request.Service))
	router.HandleFunc("/services/{Service}/*", f.handle(request.Service))
	router.NotFound(f.refuse(&UnknownPathError{}))
	router.MethodNotAllowed(f.refuse(&MethodNotAllowedError{}))
	return router
}

// refuse returns a handler that answers every request with the error.
func (f *Front) refuse(err error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.writeRefusal(w, r, err, ulid.Make().String())
	}
}

func (f *Front) handle(kind request.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := ulid.Make().String()
		if err := f.acquireSlot(); err != nil {
			f.writeRefusal(w, r, err, id)
			return
		}
		defer f.inFlight.Add(-1)
		if err := f.checkHeader(r.Header); err != nil {
			f.writeRefusal(w, r, err, id)
			return
		}
		f.limitBodyTime(w, f.options.BodyTimeout)
		watch := f.watchBody(w, r)
		accepted, held, err := f.accept(id, kind, r)
		defer held.Close()
		if watch.stop() {
			err = &BodyTooSlowError{Timeout: stallTime}
		}
		if err != nil {
			f.limitBodyTime(w, unreadBodyTime)
			f.writeRefusal(w, r, err, id)
			return
		}
		f.limitBodyTime(w, 0)
		f.serve(w, r, accepted)
	}
}

// unreadBodyTime bounds how long the rest of the body of a refused request is read, so that a caller that
// reads no answer before it has sent its body gets one.
const unreadBodyTime = time.Second

// limitBodyTime bounds the reading of a request's body from now on; zero ends that. Connections that have
// no deadlines are those of tests.
func (f *Front) limitBodyTime(w http.ResponseWriter, timeout time.Duration) {
	deadline := time.Time{}
	if timeout > 0 {
		deadline = f.Clock.Now().Add(timeout)
	}
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
}

// acquireSlot counts a request in flight. It returns a *BusyError if MaxInFlight
// requests are in flight already.
func (f *Front) acquireSlot() error {
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

// serve dispatches an accepted request and counts its outcome.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, accepted request.Request) {
	writer := &answerWriter{response: w, requestID: accepted.ID, isStream: accepted.Stream}
	result := f.dispatcher.Do(r.Context(), accepted, writer)
	f.Count("Front.Outcome."+result.Outcome.String(), 1)
}

// writeRefusal answers a request that was not dispatched. The outcome of a request
// with an idempotency key is Unknown, because another daemon may have run it when it
// was sent before.
func (f *Front) writeRefusal(w http.ResponseWriter, r *http.Request, err error, id string) {
	p := problemFromError(err)
	if len(r.Header.Values(headerIdempotencyKey)) > 0 {
		p.Outcome = request.Unknown.String()
	}
	f.Count("Front.Problem."+p.Type, 1)
	p.RequestID = id
	p.write(w)
}
