// Package engine is a stand-in of a model engine with continuous batching, a
// prefix cache, OpenAI-style requests and a control interface.
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

// Engine is the stand-in. It is an http.Handler.
type Engine struct {
	chi.Router
	clock      clock.Clock
	parameters Parameters
	batch      *batch
	faults     standin.Faults[Faults]
	life       life
	runs       standin.RunCounter

	mu sync.Mutex
	// models and adapters are loaded.
	models   []string
	adapters []string
	// fencing is the highest number of an order.
	fencing uint64
	// report is the last load report.
	report hosting.LoadReport
	// served counts the requests that came without an identity.
	served int
}

// New returns an engine that computes until ctx ends. Done tells when it has
// stopped.
func New(ctx context.Context, c clock.Clock, parameters Parameters) *Engine {
	e := &Engine{
		Router:     chi.NewRouter(),
		clock:      c,
		parameters: parameters,
		life:       life{crashed: make(chan struct{})},
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

// Runs returns how often the engine ran each request.
func (e *Engine) Runs() standin.Runs { return e.runs.Runs() }

// Done is closed when the engine has stopped computing.
func (e *Engine) Done() <-chan struct{} { return e.batch.done }

// routes adds the requests that fail after a crash.
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
