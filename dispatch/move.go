package dispatch

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/prefix"
)

// Move makes the streams of a backend server that is leaving continue
// elsewhere, and returns their number. A stream for which there is no other
// backend server stays where it is. Failures of the other requests there are
// not charged to the retry budget from now on.
func (d *Dispatcher) Move(backendName string) int {
	var moved atomic.Int64
	var moves sync.WaitGroup
	slots := make(chan struct{}, parallelMoves)
	for _, f := range d.flightsAt(backendName) {
		slots <- struct{}{}
		moves.Go(func() {
			defer func() { <-slots }()
			if f.move(backendName) {
				moved.Add(1)
			}
		})
	}
	moves.Wait()
	d.Count("RequestsMoved", moved.Load())
	return int(moved.Load())
}

// parallelMoves bounds the streams that are moved at the same time.
const parallelMoves = 16

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
	f.moveCache(backendName, target)
	if !f.stopFor(backendName, target) {
		f.discard(target)
		return false
	}
	return true
}

// moveCache copies the KV cache of the stream to target. A prompt shorter than
// a block leaves nothing to copy.
func (f *flight) moveCache(backendName string, target Target) {
	from, running := f.current()
	if f.Mover == nil || !running || from.Name != backendName || f.request.PromptTokens < prefix.BlockTokens {
		return
	}
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	timer := f.Clock.AfterFunc(f.options.MoveTimeout, cancel)
	defer timer.Stop()
	if err := f.Mover.MoveCache(ctx, f.request.ID, from, target); err != nil {
		f.Count("CachesNotMoved", 1)
		return
	}
	f.Count("CachesMoved", 1)
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
