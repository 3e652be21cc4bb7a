package gossip

import "time"

const (
	// demandInterval is the least time between two rates for a plan, and
	// largeDemandInterval in a group of more than WideGroupDaemons.
	demandInterval      = 2*Interval - Interval/4
	largeDemandInterval = 8*Interval - Interval/4
	// ratesPerRequest is the number of units of a rate in one request a
	// second.
	ratesPerRequest = 100
	// demandTolerance is the share by which a rate changes before it is
	// sent again.
	demandTolerance = 0.1
)

// publish turns the daemon's own facts into a new version of its own report.
// It keeps the old version when nothing has changed.
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
		rate := PlanRate{Plan: NewID(demand.Plan), Rate: uint32(max(demand.Rate, 0) * ratesPerRequest)}
		old, ok := r.demands[rate.Plan]
		if rate.Rate == 0 && old.value.Rate == 0 {
			continue
		}
		if ok && (now.Sub(old.learned) < interval || isClose(rate.Rate, old.value.Rate)) {
			rate = old.value
		}
		changed = refresh(r.demands, rate.Plan, rate, version, now) || changed
	}
	return changed
}

// isClose reports whether two rates differ by too little to send the new one.
func isClose(a, b uint32) bool {
	return float64(max(a, b)-min(a, b)) <= demandTolerance*float64(max(a, b))
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

// PrefillUnit is what prefill rates are rounded up to, in tokens a second. A
// rate that decays without work then changes its report only now and then.
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
