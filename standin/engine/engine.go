// Package engine is a stand-in for a model engine with continuous batching, a
// prefix cache, an OpenAI-style API and a control interface.
package engine

import (
	"context"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/standin"
)

// Engine is the simulated model engine. It is an http.Handler.
type Engine struct {
	chi.Router
	clock      clock.Clock
	parameters Parameters
	batch      *batch
	faults     standin.Faults[Faults]
	crashState crashState
	runs       standin.RunCounter

	mu sync.Mutex
	// models and adapters are the names of the loaded models and adapters.
	models   []string
	adapters []string
	// highestFencing is the highest fencing token of an order so far.
	highestFencing uint64
	// report is the latest load report.
	report hosting.LoadReport
	// generatedIDs counts the requests that came without a request ID.
	generatedIDs int
}

// New returns an engine that runs until ctx ends. Done is closed when it has
// stopped.
func New(ctx context.Context, c clock.Clock, parameters Parameters) *Engine {
	e := &Engine{
		Router:     chi.NewRouter(),
		clock:      c,
		parameters: parameters,
		crashState: crashState{crashed: make(chan struct{})},
		models:     parameters.Models,
	}
	e.batch = newBatch(c, parameters, e.slowdown)
	e.Handle("/control/faults", &e.faults)
	e.Handle("/control/runs", &e.runs)
	e.Post("/control/crash", func(http.ResponseWriter, *http.Request) { e.Crash() })
	e.Post("/control/restart", func(http.ResponseWriter, *http.Request) { e.Restart() })
	e.Group(e.routes)
	go e.batch.run(ctx)
	return e
}

// Runs returns a copy of the run counts.
func (e *Engine) Runs() standin.Runs { return e.runs.Runs() }

// Done returns a channel that is closed when the engine has stopped.
func (e *Engine) Done() <-chan struct{} { return e.batch.done }

// routes adds the routes that fail after a crash.
func (e *Engine) routes(router chi.Router) {
	router.Use(e.dropWhenCrashed)
	router.Post("/v1/chat/completions", e.chat)
	router.Post("/v1/completions", e.complete)
	router.Get("/engine/load", e.load)
	router.Get("/engine/cache-events", e.cacheEvents)
	router.Post("/engine/orders", e.order)
	router.Post("/engine/kv/export", e.exportKV)
	router.Post("/engine/kv/import", e.importKV)
}
