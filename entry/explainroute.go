package entry

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cranberrywalk/cranberrywalk/explain"
)

// metricsHandler serves the metrics and tells where requests would go.
func (e *Entry) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", e.metrics.Handler())
	mux.HandleFunc("GET "+explain.RoutePath, e.serveExplainRoute)
	return mux
}

// serveExplainRoute answers with an explain.Route as JSON. The header of the request is that of the request
// to explain.
func (e *Entry) serveExplainRoute(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	target, err := url.Parse(query.Get(explain.TargetParameter))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	asked := r.Clone(r.Context())
	asked.Host, asked.URL, asked.RequestURI = query.Get(explain.HostParameter), target, target.RequestURI()
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// The reader sees an answer that is not complete.
	_ = encoder.Encode(e.gateway.ExplainRoute(asked, query.Get(explain.CustomerParameter)))
}
