package balance

// BeliefKind names what the balancer has come to believe.
type BeliefKind string

// The beliefs.
const (
	// RunnerDown means that a runner is left out since it can't be reached.
	RunnerDown BeliefKind = "RunnerDown"
	// RunnerUp means that a runner that was left out has answered.
	RunnerUp BeliefKind = "RunnerUp"
	// RunnerReplaced means that another runner has the address.
	RunnerReplaced BeliefKind = "RunnerReplaced"
	// ZoneCut means that the way to a zone seems to be cut.
	ZoneCut BeliefKind = "ZoneCut"
	// ZoneBack means that a runner of a zone that was left out has answered.
	ZoneBack BeliefKind = "ZoneBack"
)

// Belief is a change of what the balancer takes for true.
type Belief struct {
	Kind BeliefKind
	// Runner is empty for beliefs about zones.
	Runner string
	Zone   string
}

// believe tells of a change. The receiver must not block or call the balancer.
func (b *Balancer) believe(kind BeliefKind, r *runner) {
	if b.options.Believed == nil {
		return
	}
	belief := Belief{Kind: kind, Runner: r.entry.ID, Zone: r.entry.Zone}
	if kind == ZoneCut || kind == ZoneBack {
		belief.Runner = ""
	}
	b.options.Believed(belief)
}
