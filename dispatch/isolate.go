package dispatch

import (
	"slices"
	"time"
)

// chooseApart chooses a backend server. It keeps a request that is suspected
// of a crash away from those where other suspected requests run: all requests
// of a crashed backend server are suspected, and if they went on together, the
// next crash would count against the innocent ones again. When no other backend
// server is left, they share one.
func (f *flight) chooseApart(now time.Time) (Target, error) {
	if others := f.suspectedElsewhere(now); len(others) > 0 {
		target, err := f.Chooser.Choose(f.request, slices.Concat(f.excluded, others), now)
		if err == nil {
			return target, nil
		}
	}
	return f.Chooser.Choose(f.request, f.excluded, now)
}

// suspectedElsewhere returns the backend servers where other suspected requests
// of this daemon run. It is empty for a request that is not suspected.
func (f *flight) suspectedElsewhere(now time.Time) []string {
	if !f.Suspects.Suspected(f.fingerprint, now) {
		return nil
	}
	var names []string
	for _, other := range f.others() {
		target, running := other.current()
		if running && f.Suspects.Suspected(other.fingerprint, now) {
			names = append(names, target.Name)
		}
	}
	return names
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
