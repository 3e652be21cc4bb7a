// Package admin serves the HTTP interface for operators: health, readiness,
// metrics, the plans in force, the backend servers and the time line.
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/plan"
	"github.com/cranberrywalk/cranberrywalk/roster"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/timeline"
)

// Sources are the functions that provide the data of the interface.
type Sources struct {
	// Ready returns nil when the daemon accepts requests.
	Ready func() error
	// Plans returns false until a configuration has been read.
	Plans func() (plan.State, bool)
	// Backends returns the backend servers as the daemon sees them.
	Backends func() []roster.Member
	// Peers returns the entry VMs that the daemon knows, its own included.
	Peers func() []hosting.VM
	// Timeline returns the events that the daemon still holds.
	Timeline func() []timeline.Entry
}

// Admin implements the HTTP interface for operators.
type Admin struct {
	telemetry.Common
	sources Sources
}

// New returns an administration interface that reads from sources.
func New(common telemetry.Common, sources Sources) *Admin {
	return &Admin{Common: common, sources: sources}
}

// Handler returns the handler of all routes.
func (a *Admin) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", a.health)
	router.Get("/readyz", a.ready)
	router.Get("/metrics", a.metrics)
	router.Get("/plans", a.plans)
	router.Get("/backends", a.backends)
	router.Get("/timeline", a.timeline)
	return router
}

// health is the liveness probe: it succeeds whenever the process can answer.
func (a *Admin) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Health{Status: "Alive"})
}

func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) {
	if err := a.sources.Ready(); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, Health{Status: "NotReady", Reason: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, Health{Status: "Ready"})
}

func (a *Admin) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(a.Metrics, w)
}

func (a *Admin) plans(w http.ResponseWriter, _ *http.Request) {
	state, ready := a.sources.Plans()
	if !ready {
		writeJSON(w, http.StatusServiceUnavailable, Health{Status: "NotReady", Reason: "no configuration has been read yet"})
		return
	}
	writeJSON(w, http.StatusOK, NewPlans(state))
}

func (a *Admin) backends(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, newBackends(a.sources.Backends(), a.sources.Peers()))
}

// timeline writes the events as JSON lines, the input of timeline.ReadLines.
func (a *Admin) timeline(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/jsonl")
	// A write fails only when the client has disconnected.
	_ = timeline.WriteLines(w, a.sources.Timeline())
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only when the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
