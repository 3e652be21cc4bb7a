package dispatch

import "context"

// InFlight returns the number of requests that have not ended.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.inFlight)
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

// register adds a request. It fails with a *DrainingError once Drain was called.
func (d *Dispatcher) register(f *inFlightRequest) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return &DrainingError{}
	}
	d.inFlight[f] = struct{}{}
	return nil
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
