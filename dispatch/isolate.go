package dispatch

import (
	"slices"
	"time"
)

// chooseApart chooses a backend server. A request that is suspected of a crash
// goes on in another availability zone, since VMs of a zone fail together, and
// away from the backend servers where other suspected requests run, since the
// crash of one would count against the others again. Where that leaves no
// backend server, first the others and then the zone are not minded.
func (f *flight) chooseApart(now time.Time) (Target, error) {
	if !f.Suspects.Suspected(f.fingerprint, now) {
		return f.Chooser.Choose(f.request, f.excluded, now)
	}
	apart := slices.Concat(f.excluded, f.suspectedElsewhere(now))
	elsewhere := f.request.WithAvoidedZones([]string{f.lastCrash().Zone})
	if target, err := f.Chooser.Choose(elsewhere, apart, now); err == nil {
		return target, nil
	}
	if target, err := f.Chooser.Choose(elsewhere, f.excluded, now); err == nil {
		return target, nil
	}
	if target, err := f.Chooser.Choose(f.request, apart, now); err == nil {
		return target, nil
	}
	return f.Chooser.Choose(f.request, f.excluded, now)
}

// suspectedElsewhere returns the backend servers where other suspected requests
// of this daemon run.
func (f *flight) suspectedElsewhere(now time.Time) []string {
	var names []string
	for _, other := range f.others() {
		target, running := other.current()
		if running && f.Suspects.Suspected(other.fingerprint, now) {
			names = append(names, target.Name)
		}
	}
	return names
}

// isSharedCrash reports whether another request that was suspected before has
// met the same crash. It can't be told then which of them is at fault, and
// neither is charged: they go on apart, so that the next crash can be told. A
// zone that fails at once would else make crashing requests of its streams.
func (f *flight) isSharedCrash(target Target, now time.Time) bool {
	if !f.Suspects.Suspected(f.fingerprint, now) {
		return false
	}
	return slices.ContainsFunc(f.others(), func(other *flight) bool {
		if other.fingerprint == f.fingerprint || !f.Suspects.Suspected(other.fingerprint, now) {
			return false
		}
		running, isRunning := other.current()
		return other.lastCrash().Name == target.Name || isRunning && running.Name == target.Name
	})
}

// others returns the other requests that have not ended.
func (f *flight) others() []*flight {
	f.Dispatcher.mu.Lock()
	defer f.Dispatcher.mu.Unlock()
	others := make([]*flight, 0, len(f.flights))
	for other := range f.flights {
		if other != f {
			others = append(others, other)
		}
	}
	return others
}

// current returns the target of the current attempt, if there is one.
func (f *flight) current() (Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.target, f.stop != nil
}

func (f *flight) noteCrash(target Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashedAt = target
}

// lastCrash returns the backend server whose crash the request met last; it is
// empty when there was none.
func (f *flight) lastCrash() Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashedAt
}
