package gateway

import (
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/retry"
)

// RetryBudgets bounds the retries for each service.
type RetryBudgets struct {
	options retry.WindowOptions

	mutex   sync.Mutex
	windows map[string]*retry.Window
}

// NewRetryBudgets returns budgets with the same options for every service.
func NewRetryBudgets(options retry.WindowOptions) *RetryBudgets {
	return &RetryBudgets{options: options, windows: make(map[string]*retry.Window)}
}

func (r *RetryBudgets) window(service string) *retry.Window {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	window := r.windows[service]
	if window == nil {
		window = retry.NewWindow(r.options)
		r.windows[service] = window
	}
	return window
}

// CountRequest counts a request for a service.
func (r *RetryBudgets) CountRequest(service string, now time.Time) {
	r.window(service).RecordRequest(now)
}

// AllowRetry takes one retry from this daemon's share of the service's budget, which
// is divided among the given number of daemons. It returns false if the share is used
// up.
func (r *RetryBudgets) AllowRetry(service string, daemons int, now time.Time) bool {
	return r.window(service).AllowRetry(daemons, now)
}

// ReturnRetry returns one retry that AllowRetry granted at the given time and that was
// not made.
func (r *RetryBudgets) ReturnRetry(service string, granted time.Time) {
	r.window(service).ReturnRetry(granted)
}
