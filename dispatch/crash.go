package dispatch

import (
	"errors"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/suspect"
)

// crashKey identifies the crashes of a backend server while it ran requests of one content.
type crashKey struct {
	fingerprint uint64
	backend     string
}

// maxCrashKeys bounds the crashes that are remembered.
const maxCrashKeys = 1024

// newCrashCache returns the cache of when crashes were last recorded.
func newCrashCache() *lru.Cache[crashKey, time.Time] {
	// The only failure of lru.New is a size below 1.
	cache, _ := lru.New[crashKey, time.Time](maxCrashKeys)
	return cache
}

// checkForCrash records a possible crash of the backend server if the failure of
// the attempt looks like one.
func (f *inFlightRequest) checkForCrash(target Target, started time.Time, failure error) {
	var fault *backend.FaultError
	if errors.As(failure, &fault) && fault.IsCrash() && !f.isLeaving(target.Name) && f.ctx.Err() == nil {
		f.recordCrash(target, started)
	}
}

// recordCrash records that the request may have crashed a backend server.
func (f *inFlightRequest) recordCrash(target Target, started time.Time) {
	f.setLastCrash(target)
	now := f.Clock.Now()
	if f.isSharedCrash(target, now) {
		f.Count("RequestCrashesShared", 1)
		return
	}
	if f.isRecordedCrash(target, started, now) {
		f.Count("RequestCrashesRepeated", 1)
		return
	}
	crashID := suspect.CrashID(f.request.ID, target.Name, f.machine.Attempt())
	entry := f.Suspects.RecordCrash(f.fingerprint, crashID, now)
	f.Count("RequestCrashes", 1)
	if f.OnSuspect != nil && len(entry.Crashes) > 0 {
		f.OnSuspect(entry)
	}
}

// isRecordedCrash reports whether the crash was recorded for another request of the same content,
// and remembers it. An attempt that was started before the last crash of its backend server
// was broken off by that one.
func (f *inFlightRequest) isRecordedCrash(target Target, started, now time.Time) bool {
	key := crashKey{fingerprint: f.fingerprint, backend: target.Name}
	f.Dispatcher.mu.Lock()
	defer f.Dispatcher.mu.Unlock()
	last, found := f.crashes.Get(key)
	if found && started.Before(last) {
		return true
	}
	f.crashes.Add(key, now)
	return false
}
