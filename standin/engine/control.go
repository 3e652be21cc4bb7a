package engine

import (
	"net/http"
	"slices"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/hostinghttp"
	"github.com/cranberrywalk/cranberrywalk/prefix"
	"github.com/cranberrywalk/cranberrywalk/standin"
)

// load responds with a load report, which is renewed when it is at least LoadLag
// old.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if e.clock.Now().Sub(e.report.Time) >= e.parameters.LoadLag {
		e.report = e.batch.loadReport()
		e.report.Models = slices.Clone(e.models)
	}
	report := e.report
	e.mu.Unlock()
	standin.Respond(w, http.StatusOK, report)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	until := e.clock.Now().Add(-e.parameters.EventLag)
	e.batch.mu.Lock()
	events := e.batch.cache.publishedEvents(standin.QueryUint(r, "After"), until, e.parameters.LostEventEvery)
	e.batch.mu.Unlock()
	standin.Respond(w, http.StatusOK, hostinghttp.CacheEventsResponse{Events: events})
}

// order sets the models and adapters. It rejects an order with a stale fencing
// number only if ChecksFencing is set.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order hosting.Order
	if !standin.Decode(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.parameters.ChecksFencing && order.Fencing < e.highestFencing {
		standin.Respond(w, http.StatusConflict, hostinghttp.FencedResponse{Seen: e.highestFencing})
		return
	}
	e.highestFencing = max(e.highestFencing, order.Fencing)
	e.models = order.Models
	e.adapters = order.Adapters
	standin.Respond(w, http.StatusOK, struct{}{})
}

// isLoaded returns whether a model or an adapter of that name is loaded. An engine
// without any models accepts every name.
func (e *Engine) isLoaded(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.models) == 0 || slices.Contains(e.models, model) || slices.Contains(e.adapters, model)
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var request hostinghttp.ExportRequest
	if !standin.Decode(w, r, &request) {
		return
	}
	found, ok := e.batch.find(request.RequestID)
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	standin.Respond(w, http.StatusOK, hosting.KVCache{
		RequestID: found.id,
		Blocks:    found.blocks,
		Tokens:    len(found.blocks) * prefix.BlockTokens,
		Payload:   []byte("kv-" + found.id),
	})
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var kv hosting.KVCache
	if !standin.Decode(w, r, &kv) {
		return
	}
	e.batch.mu.Lock()
	e.batch.cache.access(kv.Blocks, e.clock.Now())
	e.batch.mu.Unlock()
	standin.Respond(w, http.StatusOK, struct{}{})
}
