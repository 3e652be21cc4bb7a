package dispatch

import (
	"slices"
	"time"
)

// chooseIsolated chooses a backend server. A request that is suspected of causing
// a crash is retried in another availability zone, because VMs of a zone fail
// together, and not on backend servers that run other suspected requests, because
// a crash caused by one request would be counted against the others again. If no
// backend server satisfies both conditions, it tries without the second, then
// without the first, and finally without either.
func (f *inFlightRequest) chooseIsolated(excluded []string, now time.Time) (Target, error) {
	if !f.Suspects.Suspected(f.fingerprint, now) {
		return f.Chooser.Choose(f.request, excluded, now)
	}
	isolated := slices.Concat(excluded, f.otherSuspectBackends(now))
	otherZone := f.request.WithAvoidedZones([]string{f.lastCrash().Zone})
	if target, err := f.Chooser.Choose(otherZone, isolated, now); err == nil {
		return target, nil
	}
	if target, err := f.Chooser.Choose(otherZone, excluded, now); err == nil {
		return target, nil
	}
	if target, err := f.Chooser.Choose(f.request, isolated, now); err == nil {
		return target, nil
	}
	return f.Chooser.Choose(f.request, excluded, now)
}

// otherSuspectBackends returns the backend servers that run other suspected
// requests of this daemon.
func (f *inFlightRequest) otherSuspectBackends(now time.Time) []string {
	var names []string
	for _, other := range f.otherRequests() {
		target, running := other.currentTarget()
		if running && f.Suspects.Suspected(other.fingerprint, now) {
			names = append(names, target.Name)
		}
	}
	return names
}

// isSharedCrash reports whether another request that was already suspected was
// involved in the same crash. The cause is then ambiguous and neither request is
// charged: both are retried on different backend servers, so that the next crash
// can be attributed. Otherwise the failure of a whole zone would mark its streams
// as crashing requests.
func (f *inFlightRequest) isSharedCrash(target Target, now time.Time) bool {
	if !f.Suspects.Suspected(f.fingerprint, now) {
		return false
	}
	return slices.ContainsFunc(f.otherRequests(), func(other *inFlightRequest) bool {
		if other.fingerprint == f.fingerprint || !f.Suspects.Suspected(other.fingerprint, now) {
			return false
		}
		running, isRunning := other.currentTarget()
		return other.lastCrash().Name == target.Name || isRunning && running.Name == target.Name
	})
}

// otherRequests returns the other requests of this daemon that have not ended.
func (f *inFlightRequest) otherRequests() []*inFlightRequest {
	f.Dispatcher.mu.Lock()
	defer f.Dispatcher.mu.Unlock()
	others := make([]*inFlightRequest, 0, len(f.inFlight))
	for other := range f.inFlight {
		if other != f {
			others = append(others, other)
		}
	}
	return others
}

// currentTarget returns the target of the current or last attempt, and whether an
// attempt is running.
func (f *inFlightRequest) currentTarget() (Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.target, f.cancelAttempt != nil
}

func (f *inFlightRequest) setLastCrash(target Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashedBackend = target
}

// lastCrash returns the backend server of the last suspected crash; it is empty
// when there was none.
func (f *inFlightRequest) lastCrash() Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashedBackend
}
