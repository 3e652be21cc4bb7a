package balance

import "time"

// HealthChangeKind is the kind of a health change.
type HealthChangeKind string

// The kinds of health changes.
const (
	// RunnerDown means that a runner is unreachable and avoided.
	RunnerDown HealthChangeKind = "RunnerDown"
	// RunnerUp means that an unreachable runner has answered.
	RunnerUp HealthChangeKind = "RunnerUp"
	// RunnerReplaced means that another runner answers at the address.
	RunnerReplaced HealthChangeKind = "RunnerReplaced"
	// RunnerSaidLeaving means that a runner whose record says otherwise has said in an
	// answer, to this daemon or another one, that it is leaving.
	RunnerSaidLeaving HealthChangeKind = "RunnerSaidLeaving"
	// RunnerPaused means that a runner has turned a request away and wants no others
	// for a time.
	RunnerPaused HealthChangeKind = "RunnerPaused"
	// RunnerLimited means that a runner has named how many requests it takes, and
	// RunnerLimitChanged that it has named another number. RunnerLimitEnded means that it
	// names none any more.
	RunnerLimited      HealthChangeKind = "RunnerLimited"
	RunnerLimitChanged HealthChangeKind = "RunnerLimitChanged"
	RunnerLimitEnded   HealthChangeKind = "RunnerLimitEnded"
	// RunnerLimitInvalid means that a runner has named something that is no limit. The limit
	// in force stays as it was.
	RunnerLimitInvalid HealthChangeKind = "RunnerLimitInvalid"
	// ZoneCut means that a zone appears to be unreachable from this daemon.
	ZoneCut HealthChangeKind = "ZoneCut"
	// ZoneBack means that a runner of an unreachable zone has answered.
	ZoneBack HealthChangeKind = "ZoneBack"
)

// HealthChange is a change in the observed health of a runner or a zone.
type HealthChange struct {
	Kind HealthChangeKind
	// Runner is empty for changes of a zone.
	Runner string
	Zone   string
	// Pause is how long the runner wants no requests; zero unless Kind is RunnerPaused.
	Pause time.Duration
	// Limit is the number of requests a second that the runner takes, and ObservedBy the daemon
	// that was told so; zero unless the change is one of the limit.
	Limit      float64
	ObservedBy string
	// Text is what the runner named; empty unless Kind is RunnerLimitInvalid.
	Text string
}

// notify reports a health change of a runner or its zone.
func (b *Balancer) notify(kind HealthChangeKind, r *runner) {
	change := HealthChange{Kind: kind, Runner: r.entry.ID, Zone: r.entry.Zone}
	if kind == ZoneCut || kind == ZoneBack {
		change.Runner = ""
	}
	b.report(change)
}

// report passes a health change to the configured callback, which must not block
// or call the balancer, since it runs with the mutex held.
func (b *Balancer) report(change HealthChange) {
	if b.options.OnHealthChange != nil {
		b.options.OnHealthChange(change)
	}
}
