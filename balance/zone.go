package balance

import "time"

// zone is what is known of the way to the runners of an availability zone.
type zone struct {
	// silent holds the runners that did not answer since one of the zone last
	// did, and attempts counts the attempts there.
	silent   map[string]struct{}
	attempts int
	// cutUntil is when a zone that seems to be cut off is tried again.
	cutUntil time.Time
	// mute is true while no daemon of the zone is heard.
	mute bool
}

// cutRunners is the number of runners of a zone that must be silent in at least
// cutAttempts attempts, with none that answers, before the way to the zone is
// taken to be cut.
const (
	cutRunners  = 2
	cutAttempts = 4
)

// noteSilence takes in that a runner did not answer. It reports whether the zone
// is left out from now on.
func (z *zone) noteSilence(runner string, now time.Time, retry time.Duration) bool {
	z.silent[runner] = struct{}{}
	z.attempts++
	if len(z.silent) >= cutRunners && z.attempts >= cutAttempts && !now.Before(z.cutUntil) {
		isNews := z.cutUntil.IsZero()
		z.cutUntil = now.Add(retry)
		return isNews
	}
	return false
}

// noteAnswer takes in that a runner answered. It reports whether the zone was left
// out until now.
func (z *zone) noteAnswer() bool {
	wasCut := !z.cutUntil.IsZero()
	clear(z.silent)
	z.attempts = 0
	z.cutUntil = time.Time{}
	return wasCut
}

// isCut reports whether the zone is left out. A zone whose daemons are mute is
// cut after a single silent runner.
func (z *zone) isCut(now time.Time) bool {
	return now.Before(z.cutUntil) || z.mute && len(z.silent) > 0
}

// zoneOf returns the state of a zone and is called with the mutex held.
func (b *Balancer) zoneOf(name string) *zone {
	z := b.zones[name]
	if z == nil {
		z = &zone{silent: make(map[string]struct{})}
		b.zones[name] = z
	}
	return z
}

// SetMuteZones tells of which zones no daemon is heard.
func (b *Balancer) SetMuteZones(mute []string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, z := range b.zones {
		z.mute = false
	}
	for _, name := range mute {
		b.zoneOf(name).mute = true
	}
}
