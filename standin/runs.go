package standin

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// Runs counts the requests that a backend server has run.
type Runs struct {
	// Keys counts the runs by Idempotency-Key.
	Keys map[string]int
	// Requests counts the runs by X-Request-Id.
	Requests map[string]int
	// Total counts all runs.
	Total int
	// Last is the start time of the last run.
	Last time.Time
}

// RunCounter counts runs. It never drops a key, so its memory grows without bound:
// use it in tests only.
type RunCounter struct {
	mu   sync.Mutex
	runs Runs
}

// Record counts the run of a request and returns the total number of runs.
func (c *RunCounter) Record(r *http.Request, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs.Keys == nil {
		c.runs.Keys, c.runs.Requests = map[string]int{}, map[string]int{}
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		c.runs.Keys[key]++
	}
	if id := r.Header.Get("X-Request-Id"); id != "" {
		c.runs.Requests[id]++
	}
	c.runs.Total++
	c.runs.Last = now
	return c.runs.Total
}

// Runs returns a copy of the counts.
func (c *RunCounter) Runs() Runs {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := c.runs
	copied.Keys = maps.Clone(c.runs.Keys)
	copied.Requests = maps.Clone(c.runs.Requests)
	return copied
}

// ServeHTTP responds with the counts.
func (c *RunCounter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	Respond(w, http.StatusOK, c.Runs())
}
