package dispatch

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/prefix"
)

// MoveStreams moves the streams of a leaving backend server to other backend
// servers, and returns the number of streams moved. A stream for which no other
// backend server is available is not moved. From now on, failures of the remaining
// requests on the leaving backend server are not charged to the retry budget.
func (d *Dispatcher) MoveStreams(backendName string) int {
	var moved atomic.Int64
	var moves sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentMoves)
	for _, f := range d.movableRequests(backendName) {
		semaphore <- struct{}{}
		moves.Go(func() {
			defer func() { <-semaphore }()
			if f.move(backendName) {
				moved.Add(1)
			}
		})
	}
	moves.Wait()
	d.Count("RequestsMoved", moved.Load())
	return int(moved.Load())
}

// maxConcurrentMoves limits the streams that are moved concurrently.
const maxConcurrentMoves = 16

// movableRequests marks the backend server as leaving in all requests, and returns
// the requests that run there as streams that can be continued elsewhere.
func (d *Dispatcher) movableRequests(backendName string) []*inFlightRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []*inFlightRequest
	for f := range d.inFlight {
		if f.markLeaving(backendName) {
			found = append(found, f)
		}
	}
	return found
}

// markLeaving records that the backend server is leaving, and reports whether the
// request is running there as a stream that can be continued elsewhere.
func (f *inFlightRequest) markLeaving(backendName string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[backendName] = true
	return f.cancelAttempt != nil && f.target.Name == backendName && f.movable
}

// move selects another backend server and cancels the current attempt.
func (f *inFlightRequest) move(backendName string) bool {
	target, err := f.Chooser.Choose(f.request, []string{backendName}, f.Clock.Now())
	if err != nil {
		return false
	}
	f.moveCache(backendName, target)
	if !f.cancelForMove(backendName, target) {
		f.releaseTarget(target)
		return false
	}
	return true
}

// moveCache copies the KV cache of the stream to target. A prompt shorter than a
// block has no cached block to copy.
func (f *inFlightRequest) moveCache(backendName string, target Target) {
	from, running := f.currentTarget()
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

// cancelForMove cancels the current attempt, if it still runs on the backend
// server, so that the next attempt uses target.
func (f *inFlightRequest) cancelForMove(backendName string, target Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelAttempt == nil || f.moveTarget != nil || f.acceptedHedge != nil || f.target.Name != backendName {
		return false
	}
	f.moveTarget = &target
	f.cancelAttempt(&MovedError{Backend: backendName})
	return true
}

// releaseTarget informs the chooser that a chosen target is not used.
func (f *inFlightRequest) releaseTarget(target Target) {
	f.Chooser.AttemptStarted(target, f.request)
	f.Chooser.AttemptEnded(target, f.request, Observation{Fault: backend.Cancelled})
}

// startAttempt registers the current attempt, so that MoveStreams can find it.
func (f *inFlightRequest) startAttempt(target Target, a *backendAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attemptNumber++
	f.stream.startAttempt()
	f.target = target
	f.attemptStarted = a.started
	f.cancelAttempt = a.cancel
	f.movable = f.expectsStream() && f.stream.body.continuable()
}

// endAttempt ends the current attempt and returns its hedge, or nil. The hedge is
// cancelled unless the request can go on with it.
func (f *inFlightRequest) endAttempt(failure error) *backendAttempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelAttempt = nil
	if f.hedge != nil && (failure == nil || f.moveTarget != nil) {
		f.hedge.cancel(&HedgeLostError{Backend: f.target.Name})
	}
	return f.hedge
}

// takeMoveTarget returns and clears the target selected by a move.
func (f *inFlightRequest) takeMoveTarget() *Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.moveTarget
	f.moveTarget = nil
	return next
}

// isLeaving reports whether the backend server is leaving.
func (f *inFlightRequest) isLeaving(backendName string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving[backendName]
}

// leavingBackends returns the names of the backend servers that are leaving.
func (f *inFlightRequest) leavingBackends() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.leaving {
		names = append(names, name)
	}
	return names
}
