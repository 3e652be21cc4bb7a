package gossip

import "time"

// publish turns the daemon's own facts into a new version of its own report.
// It keeps the old version when nothing has changed.
func (r *reporter) publish(own Digest, now time.Time) {
	version := max(uint64(now.UnixMilli()), r.version+1)
	changed := r.publishLoads(own.Loads, version, now)
	changed = r.publishDemands(own.Demands, version, now) || changed
	if changed {
		r.version = version
	}
}

func (r *reporter) publishLoads(own []BackendLoad, version uint64, now time.Time) bool {
	loads := make(map[ID]Load, len(own))
	for _, load := range own {
		loads[NewID(load.Backend)] = newLoad(load)
	}
	for id, old := range r.loads {
		if _, listed := loads[id]; !listed && !old.value.isIdle() {
			loads[id] = Load{Backend: id}
		}
	}
	changed := false
	for id, load := range loads {
		if old, ok := r.loads[id]; load.isIdle() && (!ok || old.value.isIdle()) {
			continue
		}
		changed = refresh(r.loads, id, load, version, now) || changed
	}
	return changed
}

func (r *reporter) publishDemands(own []Demand, version uint64, now time.Time) bool {
	changed := false
	for _, demand := range own {
		rate := PlanRate{Plan: demand.Plan, Rate: float32(demand.Rate)}
		changed = refresh(r.demands, demand.Plan, rate, version, now) || changed
	}
	return changed
}

// refresh stores a fact when it has changed or is due to be repeated.
func refresh[K, V comparable](facts map[K]fact[V], key K, value V, version uint64, now time.Time) bool {
	old, ok := facts[key]
	if ok && old.value == value && now.Sub(old.learned) < RefreshInterval {
		return false
	}
	facts[key] = fact[V]{value: value, version: version, learned: now}
	return true
}

func newLoad(load BackendLoad) Load {
	return Load{
		Backend:      NewID(load.Backend),
		InFlight:     uint32(max(load.InFlight, 0)),
		Running:      uint32(max(load.Running, 0)),
		Queued:       uint32(max(load.Queued, 0)),
		QueuedTokens: uint32(max(load.QueuedTokens, 0)),
	}
}

// renew gives all facts a higher version, so that every peer takes them.
func (r *reporter) renew(version uint64, now time.Time) {
	for id, fact := range r.loads {
		fact.version, fact.learned = version, now
		r.loads[id] = fact
	}
	for plan, fact := range r.demands {
		fact.version, fact.learned = version, now
		r.demands[plan] = fact
	}
	r.version = version
}
