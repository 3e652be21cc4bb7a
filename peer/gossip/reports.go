package gossip

import (
	"cmp"
	"slices"
	"time"
)

const (
	// RefreshInterval is how often a reporter repeats a fact that has not
	// changed.
	RefreshInterval = 15 * time.Second
	// FactLifetime is how long a fact holds that is not repeated.
	FactLifetime = 40 * time.Second
	// ReporterLifetime is how long a silent reporter is remembered.
	ReporterLifetime = 10 * time.Minute
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
	// advanced is the local time at which version last rose.
	advanced time.Time
	loads    map[ID]fact[Load]
	demands  map[string]fact[PlanRate]
}

func newReporter() *reporter {
	return &reporter{
		loads:   make(map[ID]fact[Load]),
		demands: make(map[string]fact[PlanRate]),
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

// known returns how far each reporter is known, ordered by reporter.
func (r reports) known() []Known {
	known := make([]Known, 0, len(r))
	for id, reporter := range r {
		known = append(known, Known{Reporter: id, Version: reporter.version})
	}
	slices.SortFunc(known, func(a, b Known) int { return cmp.Compare(a.Reporter, b.Reporter) })
	return known
}

// newer returns the reports that a daemon lacks which knows the given ones.
func (r reports) newer(known []Known) []Report {
	versions := make(map[ID]uint64, len(known))
	for _, entry := range known {
		versions[entry.Reporter] = entry.Version
	}
	var missing []Report
	for id, reporter := range r {
		if base := versions[id]; base < reporter.version {
			missing = append(missing, reporter.since(id, base))
		}
	}
	slices.SortFunc(missing, func(a, b Report) int { return cmp.Compare(a.Reporter, b.Reporter) })
	return missing
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

// merge stores a report and returns the facts of it that are new. A fact is
// never replaced by one of an older version.
func (r *reporter) merge(report Report, now time.Time) ([]Load, []PlanRate) {
	var loads []Load
	for _, load := range report.Loads {
		if store(r.loads, load.Backend, load, report.Version, now) {
			loads = append(loads, load)
		}
	}
	var demands []PlanRate
	for _, demand := range report.Demands {
		if store(r.demands, demand.Plan, demand, report.Version, now) {
			demands = append(demands, demand)
		}
	}
	if report.Base <= r.version && report.Version > r.version {
		r.version = report.Version
		r.advanced = now
	}
	return loads, demands
}

func store[K comparable, V any](facts map[K]fact[V], key K, value V, version uint64, now time.Time) bool {
	if old, ok := facts[key]; ok && old.version >= version {
		return false
	}
	facts[key] = fact[V]{value: value, version: version, learned: now}
	return true
}

// expire removes facts that were not repeated and reporters that are silent.
func (r reports) expire(now time.Time) {
	for id, reporter := range r {
		expireFacts(reporter.loads, now)
		expireFacts(reporter.demands, now)
		if now.Sub(reporter.advanced) > ReporterLifetime {
			delete(r, id)
		}
	}
}

func expireFacts[K comparable, V any](facts map[K]fact[V], now time.Time) {
	for key, fact := range facts {
		if now.Sub(fact.learned) > FactLifetime {
			delete(facts, key)
		}
	}
}
