package balance

// BeliefKind is the kind of a health change.
type BeliefKind string

// The kinds of health changes.
const (
	// RunnerDown means that a runner is unreachable and left out.
	RunnerDown BeliefKind = "RunnerDown"
	// RunnerUp means that a runner that was left out has answered.
	RunnerUp BeliefKind = "RunnerUp"
	// RunnerReplaced means that another runner answers at the address.
	RunnerReplaced BeliefKind = "RunnerReplaced"
	// ZoneCut means that a zone appears to be unreachable from this daemon.
	ZoneCut BeliefKind = "ZoneCut"
	// ZoneBack means that a runner of an unreachable zone has answered.
	ZoneBack BeliefKind = "ZoneBack"
)

// Belief is a change in the observed health of a runner or a zone.
type Belief struct {
	Kind BeliefKind
	// Runner is empty for changes of a zone.
	Runner string
	Zone   string
}

// notify passes a health change to the configured callback, which must not block
// or call the balancer, since it runs with the mutex held.
func (b *Balancer) notify(kind BeliefKind, r *runner) {
	if b.options.Believed == nil {
		return
	}
	change := Belief{Kind: kind, Runner: r.entry.ID, Zone: r.entry.Zone}
	if kind == ZoneCut || kind == ZoneBack {
		change.Runner = ""
	}
	b.options.Believed(change)
}
