package dispatch

import (
	"context"
	"time"

	"github.com/cranberrywalk/cranberrywalk/request"
)

// InFlight returns the number of requests that have not ended.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.inFlight)
}

// DrainBy rejects from now on those new requests that may not have ended at a time. Requests
// that arrive late in a planned stop are then not cut at its end.
func (d *Dispatcher) DrainBy(end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainEnd = end
}

// Drain rejects new requests from now on. Done is closed when the requests in
// flight have ended.
func (d *Dispatcher) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return
	}
	d.draining = true
	d.closeIfDrained()
}

// Done returns a channel that is closed when the dispatcher is draining and the
// last request has ended.
func (d *Dispatcher) Done() <-chan struct{} { return d.drained }

// Wait blocks until Done is closed. It returns a *DrainIncompleteError if ctx ends first.
func (d *Dispatcher) Wait(ctx context.Context) error {
	select {
	case <-d.drained:
		return nil
	case <-ctx.Done():
		return &DrainIncompleteError{InFlight: d.InFlight()}
	}
}

// register adds a request. It fails with a *DrainingError once Drain was called, or if the
// request may outlast the end that DrainBy has set.
func (d *Dispatcher) register(f *inFlightRequest) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining || d.mayOutlastDrain(f.request) {
		return &DrainingError{}
	}
	d.inFlight[f] = struct{}{}
	return nil
}

// mayOutlastDrain reports whether a request may not have ended at the end that DrainBy has
// set. The caller holds d.mu.
func (d *Dispatcher) mayOutlastDrain(r request.Request) bool {
	if d.drainEnd.IsZero() {
		return false
	}
	return r.Deadline.IsZero() || r.Deadline.After(d.drainEnd)
}

func (d *Dispatcher) unregister(f *inFlightRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, found := d.inFlight[f]; !found {
		return
	}
	delete(d.inFlight, f)
	d.closeIfDrained()
}

// closeIfDrained closes drained when the last request has ended. The caller holds
// d.mu.
func (d *Dispatcher) closeIfDrained() {
	if d.draining && len(d.inFlight) == 0 {
		close(d.drained)
	}
}
