package standin

import (
	"net/http"
	"sync"
)

// Faults holds the faults that are switched on in a stand-in. The zero value
// of F has no fault.
type Faults[F any] struct {
	mu      sync.Mutex
	current F
}

// Get returns the faults that are switched on.
func (f *Faults[F]) Get() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Set replaces the faults as a whole.
func (f *Faults[F]) Set(faults F) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = faults
}

// Update changes the faults under a lock.
func (f *Faults[F]) Update(change func(faults *F)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.current)
}

// ServeHTTP replaces the faults by those of the body of a POST request, and
// answers with the faults that are switched on.
func (f *Faults[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var faults F
		if !DecodeStrictly(w, r, &faults) {
			return
		}
		f.Set(faults)
	}
	Respond(w, http.StatusOK, f.Get())
}
