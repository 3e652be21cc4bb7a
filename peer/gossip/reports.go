package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// RefreshInterval is the time after which a reporter repeats an unchanged
	// fact.
	RefreshInterval = 15 * time.Second
	// FactLifetime is the time after which a fact expires unless it is
	// repeated.
	FactLifetime = 40 * time.Second
)

// fact is a value with the version of the report that last set it.
type fact[V any] struct {
	value   V
	version uint64
	// storedAt is the local time at which the fact was stored.
	storedAt time.Time
}

// reporter holds the facts of one daemon or of one other group.
type reporter struct {
	// version is the highest version up to which all facts are known.
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

// reports holds the facts of all reporters: the daemons of the group and the
// other groups.
type reports map[ID]*reporter

func (r reports) reporter(id ID) *reporter {
	known, ok := r[id]
	if !ok {
		known = newReporter()
		r[id] = known
	}
	return known
}

// knownVersions returns the known version of each of the given reporters, in
// their order; 0 for a reporter without facts.
func (r reports) knownVersions(group []ID) []KnownVersion {
	known := make([]KnownVersion, 0, len(group))
	for _, id := range group {
		entry := KnownVersion{Reporter: id}
		if reporter, ok := r[id]; ok {
			entry.Version = reporter.version
		}
		known = append(known, entry)
	}
	return known
}

// newerThan returns the reports that a daemon with the known versions lacks.
// Reporters that are not in known are left out.
func (r reports) newerThan(known []KnownVersion) []Report {
	var missing []Report
	for _, entry := range known {
		reporter, ok := r[entry.Reporter]
		if ok && entry.Version < reporter.version {
			missing = append(missing, reporter.since(entry.Reporter, entry.Version))
		}
	}
	return missing
}

// retain drops the reporters for which wanted returns false.
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

// merge stores a report and returns whether it was accepted. It rejects a report
// whose base is beyond the known version, which would leave a gap, and one that
// is not newer, so that no fact is replaced by an older version, even when the
// newer one has expired.
func (r *reporter) merge(report Report, now time.Time) bool {
	if report.Base > r.version || report.Version <= r.version {
		return false
	}
	for _, load := range report.Loads {
		r.loads[load.Backend] = fact[Load]{value: load, version: report.Version, storedAt: now}
	}
	for _, demand := range report.Demands {
		r.demands[demand.Plan] = fact[PlanRate]{value: demand, version: report.Version, storedAt: now}
	}
	r.version = report.Version
	return true
}

// expire removes the facts that were not repeated within FactLifetime.
func (r reports) expire(now time.Time) {
	for _, reporter := range r {
		expireFacts(reporter.loads, now)
		expireFacts(reporter.demands, now)
	}
}

func expireFacts[K comparable, V any](facts map[K]fact[V], now time.Time) {
	for key, fact := range facts {
		if now.Sub(fact.storedAt) > FactLifetime {
			delete(facts, key)
		}
	}
}
