package gossip

import "time"

const (
	// demandInterval is the minimum time between two published rates of a
	// plan; largeDemandInterval applies in groups of more than
	// MaxRegionGroupSize daemons.
	demandInterval      = 2*Interval - Interval/4
	largeDemandInterval = 8*Interval - Interval/4
	// rateScale is the value of PlanRate.Rate for one request per second.
	rateScale = 100
	// demandTolerance is the relative change of a rate up to which the old
	// rate is kept.
	demandTolerance = 0.1
)

// publish stores the daemon's own facts as a new version of its own report. It
// keeps the old version when nothing has changed.
func (r *reporter) publish(own Digest, interval time.Duration, now time.Time) {
	version := max(uint64(now.UnixMilli()), r.version+1)
	changed := r.publishLoads(own.Loads, version, now)
	changed = r.publishDemands(own.Demands, interval, version, now) || changed
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

func (r *reporter) publishDemands(own []Demand, interval time.Duration, version uint64, now time.Time) bool {
	changed := false
	for _, demand := range own {
		rate := PlanRate{Plan: NewID(demand.Plan), Rate: uint32(max(demand.Rate, 0) * rateScale)}
		old, ok := r.demands[rate.Plan]
		if rate.Rate == 0 && old.value.Rate == 0 {
			continue
		}
		if ok && (now.Sub(old.storedAt) < interval || isClose(rate.Rate, old.value.Rate)) {
			rate = old.value
		}
		changed = refresh(r.demands, rate.Plan, rate, version, now) || changed
	}
	return changed
}

// isClose reports whether two rates differ by at most demandTolerance.
func isClose(a, b uint32) bool {
	return float64(max(a, b)-min(a, b)) <= demandTolerance*float64(max(a, b))
}

// refresh stores a fact and returns true when the fact has changed or is due to
// be repeated.
func refresh[K, V comparable](facts map[K]fact[V], key K, value V, version uint64, now time.Time) bool {
	old, ok := facts[key]
	if ok && old.value == value && now.Sub(old.storedAt) < RefreshInterval {
		return false
	}
	facts[key] = fact[V]{value: value, version: version, storedAt: now}
	return true
}

// PrefillUnit is the granularity to which prefill rates are rounded up, in tokens
// per second. Without it a rate that decays while idle would change the report
// all the time.
const PrefillUnit = 512

func roundUp(value, unit int) uint32 {
	return uint32((max(value, 0) + unit - 1) / unit * unit)
}

func newLoad(load BackendLoad) Load {
	return Load{
		Backend:      NewID(load.Backend),
		InFlight:     uint32(max(load.InFlight, 0)),
		Running:      uint32(max(load.Running, 0)),
		Queued:       uint32(max(load.Queued, 0)),
		QueuedTokens: uint32(max(load.QueuedTokens, 0)),
		PrefillRate:  roundUp(load.PrefillRate, PrefillUnit),
	}
}

// raiseVersions sets the version of all facts to a higher one, so that every peer
// accepts them.
func (r *reporter) raiseVersions(version uint64, now time.Time) {
	for id, fact := range r.loads {
		fact.version, fact.storedAt = version, now
		r.loads[id] = fact
	}
	for plan, fact := range r.demands {
		fact.version, fact.storedAt = version, now
		r.demands[plan] = fact
	}
	r.version = version
}
