package gateway

import (
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/retry"
)

// Retries bounds the repeats of requests for each service.
type Retries struct {
	options retry.WindowOptions

	mutex   sync.Mutex
	windows map[string]*retry.Window
}

// NewRetries returns bounds that are the same for every service.
func NewRetries(options retry.WindowOptions) *Retries {
	return &Retries{options: options, windows: make(map[string]*retry.Window)}
}

func (r *Retries) of(service string) *retry.Window {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	window := r.windows[service]
	if window == nil {
		window = retry.NewWindow(r.options)
		r.windows[service] = window
	}
	return window
}

// Note counts a request for a service.
func (r *Retries) Note(service string, now time.Time) { r.of(service).Note(now) }

// Take grants a repeat to one of a number of daemons, or returns false.
func (r *Retries) Take(service string, daemons int, now time.Time) bool {
	return r.of(service).Take(daemons, now)
}
