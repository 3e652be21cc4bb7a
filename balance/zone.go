package balance

import "time"

// zone is the observed reachability of an availability zone.
type zone struct {
	// silentRunners holds the runners that failed to answer since any runner of
	// the zone last answered, and failedAttempts counts those failures.
	silentRunners  map[string]struct{}
	failedAttempts int
	// unreachableUntil is when an unreachable zone is tried again; zero means
	// that the zone is reachable.
	unreachableUntil time.Time
	// peersSilent is true while nothing is received from any daemon of the zone.
	peersSilent bool
}

// A zone counts as unreachable when at least minSilentRunners of its runners have
// failed to answer in at least minFailedAttempts attempts, and none has answered.
const (
	minSilentRunners  = 2
	minFailedAttempts = 4
)

// recordSilence records that a runner did not answer. It reports whether the zone
// became unreachable.
func (z *zone) recordSilence(runner string, now time.Time, retry time.Duration) bool {
	z.silentRunners[runner] = struct{}{}
	z.failedAttempts++
	if len(z.silentRunners) >= minSilentRunners && z.failedAttempts >= minFailedAttempts && !now.Before(z.unreachableUntil) {
		wasReachable := z.unreachableUntil.IsZero()
		z.unreachableUntil = now.Add(retry)
		return wasReachable
	}
	return false
}

// recordRefusal records that a runner's VM refused a connection. As long as daemons of the zone
// are heard, the runner has crashed; otherwise the path to the zone may be cut.
func (z *zone) recordRefusal(runner string) { z.silentRunners[runner] = struct{}{} }

// recordAnswer records that a runner answered. It reports whether the zone was
// unreachable until now.
func (z *zone) recordAnswer() bool {
	wasUnreachable := !z.unreachableUntil.IsZero()
	clear(z.silentRunners)
	z.failedAttempts = 0
	z.unreachableUntil = time.Time{}
	return wasUnreachable
}

// isUnreachable reports whether the zone is avoided. If nothing is received from its
// daemons either, a single silent runner suffices.
func (z *zone) isUnreachable(now time.Time) bool {
	return now.Before(z.unreachableUntil) || z.peersSilent && len(z.silentRunners) > 0
}

// zoneOf returns the state of a zone. The mutex must be held.
func (b *Balancer) zoneOf(name string) *zone {
	z := b.zones[name]
	if z == nil {
		z = &zone{silentRunners: make(map[string]struct{})}
		b.zones[name] = z
	}
	return z
}

// SetSilentZones replaces the set of zones from whose daemons nothing is received.
func (b *Balancer) SetSilentZones(zones []string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, z := range b.zones {
		z.peersSilent = false
	}
	for _, name := range zones {
		b.zoneOf(name).peersSilent = true
	}
}
