package dispatch

import (
	"context"

	"github.com/cranberrywalk/cranberrywalk/backend"
)

// Move makes the streams of a backend server that is leaving continue
// elsewhere, and returns their number. A stream for which there is no other
// backend server stays where it is. Failures of the other requests there are
// not charged to the retry budget from now on.
func (d *Dispatcher) Move(backendName string) int {
	moved := 0
	for _, f := range d.flightsAt(backendName) {
		if f.move(backendName) {
			moved++
		}
	}
	d.Count("RequestsMoved", int64(moved))
	return moved
}

func (d *Dispatcher) flightsAt(backendName string) []*flight {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []*flight
	for f := range d.flights {
		if f.markMoving(backendName) {
			found = append(found, f)
		}
	}
	return found
}

// markMoving notes that the backend server is being left, and reports whether
// a stream runs there that can go on elsewhere.
func (f *flight) markMoving(backendName string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moving[backendName] = true
	return f.stop != nil && f.target.Name == backendName && f.movable
}

// move selects the next backend server and ends the current attempt.
func (f *flight) move(backendName string) bool {
	target, err := f.Chooser.Choose(f.request, []string{backendName}, f.Clock.Now())
	if err != nil {
		return false
	}
	if !f.stopFor(backendName, target) {
		f.discard(target)
		return false
	}
	return true
}

// stopFor ends the current attempt, if it is still there, to go on at target.
func (f *flight) stopFor(backendName string, target Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stop == nil || f.next != nil || f.target.Name != backendName {
		return false
	}
	f.next = &target
	f.stop(&MovedError{Backend: backendName})
	return true
}

// discard tells the chooser that a target is not used.
func (f *flight) discard(target Target) {
	f.Chooser.Began(target, f.request)
	f.Chooser.Ended(target, f.request, Observation{Fault: backend.Cancelled})
}

// startAttempt makes the attempt known to Move.
func (f *flight) startAttempt(target Target, stop context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = target
	f.stop = stop
	f.movable = f.streams() && f.transcript.body.continuable()
}

func (f *flight) stopAttempt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stop = nil
}

// takeNext returns the target that a move has selected, once.
func (f *flight) takeNext() *Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.next
	f.next = nil
	return next
}

// isMoving reports whether the backend server is being left.
func (f *flight) isMoving(backendName string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.moving[backendName]
}

// left returns the backend servers that are being left.
func (f *flight) left() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.moving {
		names = append(names, name)
	}
	return names
}
