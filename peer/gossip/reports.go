package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// RefreshInterval is how often a reporter repeats a fact that has not
	// changed.
	RefreshInterval = 15 * time.Second
	// FactLifetime is how long a fact holds that is not repeated.
	FactLifetime = 40 * time.Second
)

// fact is a value as of a version of its reporter.
type fact[V any] struct {
	value   V
	version uint64
	// learned is the local time at which the fact was stored.
	learned time.Time
}

// reporter holds the facts of one daemon.
type reporter struct {
	// version is the highest one up to which all facts are known.
	version uint64
	loads   map[ID]fact[Load]
	demands map[ID]fact[PlanRate]
}

func newReporter() *reporter {
	return &reporter{
		loads:   make(map[ID]fact[Load]),
		demands: make(map[ID]fact[PlanRate]),
	}
}

// reports holds the facts of all reporters of the group.
type reports map[ID]*reporter

func (r reports) reporter(id ID) *reporter {
	known, ok := r[id]
	if !ok {
		known = newReporter()
		r[id] = known
	}
	return known
}

// known returns how far each reporter of the group is known, in its order.
func (r reports) known(group []ID) []Known {
	known := make([]Known, 0, len(group))
	for _, id := range group {
		entry := Known{Reporter: id}
		if reporter, ok := r[id]; ok {
			entry.Version = reporter.version
		}
		known = append(known, entry)
	}
	return known
}

// newer returns the reports that a daemon lacks which knows the given ones.
// Reporters that it does not name are left out.
func (r reports) newer(known []Known) []Report {
	var missing []Report
	for _, entry := range known {
		reporter, ok := r[entry.Reporter]
		if ok && entry.Version < reporter.version {
			missing = append(missing, reporter.since(entry.Reporter, entry.Version))
		}
	}
	return missing
}

// retain drops the reporters that are not wanted.
func (r reports) retain(wanted func(ID) bool) {
	maps.DeleteFunc(r, func(id ID, _ *reporter) bool { return !wanted(id) })
}

// since returns the facts that changed after base.
func (r *reporter) since(id ID, base uint64) Report {
	report := Report{Reporter: id, Base: base, Version: r.version}
	for _, fact := range r.loads {
		if fact.version > base {
			report.Loads = append(report.Loads, fact.value)
		}
	}
	for _, fact := range r.demands {
		if fact.version > base {
			report.Demands = append(report.Demands, fact.value)
		}
	}
	slices.SortFunc(report.Loads, func(a, b Load) int { return cmp.Compare(a.Backend, b.Backend) })
	slices.SortFunc(report.Demands, func(a, b PlanRate) int { return cmp.Compare(a.Plan, b.Plan) })
	return report
}

// merge stores a report and reports whether it was taken. One that leaves a gap
// is not, and neither is an older one, so that a fact is never replaced by one of
// an older version, even when the newer one has expired.
func (r *reporter) merge(report Report, now time.Time) bool {
	if report.Base > r.version || report.Version <= r.version {
		return false
	}
	for _, load := range report.Loads {
		r.loads[load.Backend] = fact[Load]{value: load, version: report.Version, learned: now}
	}
	for _, demand := range report.Demands {
		r.demands[demand.Plan] = fact[PlanRate]{value: demand, version: report.Version, learned: now}
	}
	r.version = report.Version
	return true
}

// expire removes the facts that were not repeated.
func (r reports) expire(now time.Time) {
	for _, reporter := range r {
		expireFacts(reporter.loads, now)
		expireFacts(reporter.demands, now)
	}
}

func expireFacts[K comparable, V any](facts map[K]fact[V], now time.Time) {
	for key, fact := range facts {
		if now.Sub(fact.learned) > FactLifetime {
			delete(facts, key)
		}
	}
}
