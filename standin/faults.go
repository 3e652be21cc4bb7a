package standin

import (
	"net/http"
	"sync"
)

// Faults holds the active faults of a stand-in. The zero value of F means no
// fault.
type Faults[F any] struct {
	mu      sync.Mutex
	current F
}

// Get returns the active faults.
func (f *Faults[F]) Get() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Set replaces all active faults.
func (f *Faults[F]) Set(faults F) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = faults
}

// Update changes the active faults atomically.
func (f *Faults[F]) Update(change func(faults *F)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.current)
}

// ServeHTTP replaces the active faults by those in the body of a POST request.
// It responds to every request with the active faults.
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
