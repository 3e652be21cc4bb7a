package dispatch

import "context"

// InFlight returns the number of requests that have not ended.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.flights)
}

// Drain refuses new requests from now on. Done tells when the others have
// ended.
func (d *Dispatcher) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return
	}
	d.draining = true
	d.signalIdle()
}

// Done is closed when the dispatcher drains and the last request has ended.
func (d *Dispatcher) Done() <-chan struct{} { return d.idle }

// Wait returns when Done is closed, or with a *DrainError when ctx ends.
func (d *Dispatcher) Wait(ctx context.Context) error {
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		return &DrainError{InFlight: d.InFlight()}
	}
}

// enter adds a flight. It fails with a *DrainingError.
func (d *Dispatcher) enter(f *flight) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return &DrainingError{}
	}
	d.flights[f] = struct{}{}
	return nil
}

func (d *Dispatcher) leave(f *flight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, found := d.flights[f]; !found {
		return
	}
	delete(d.flights, f)
	d.signalIdle()
}

// signalIdle closes idle when the last request has ended. The caller holds
// the lock.
func (d *Dispatcher) signalIdle() {
	if d.draining && len(d.flights) == 0 {
		close(d.idle)
	}
}
