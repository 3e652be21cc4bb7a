package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// pool identifies a group of interchangeable VMs.
type pool struct {
	role hosting.Role
	// model is set for runners and service for plain services. Runners with
	// several models belong to the pool of the first one by name.
	model   string
	service string
}

// start is a VM that was started and is not listed yet.
type start struct {
	pool pool
	vm   string
	// until is when waiting for the VM to be listed ends.
	until time.Time
}

// refusal is the backoff of an offer after its last refusal.
type refusal struct {
	until time.Time
	wait  time.Duration
}

// fleet tracks the listed, lost and started VMs, and decides which VMs to start.
type fleet struct {
	options Options
	// seen holds the pool of each VM that was listed at the last update.
	seen map[string]pool
	// lost holds the pool of each VM that is leaving or no longer listed and has
	// no replacement.
	lost map[string]pool
	// replaced holds the listed VMs that are leaving and have a replacement.
	replaced map[string]bool
	// started holds the starts by the identity of their requests.
	started map[string]start
	refused map[Offer]refusal
	// pausedUntil is when starts resume after a start without an answer.
	pausedUntil time.Time
}

func newFleet(options Options) fleet {
	return fleet{
		options: options, seen: make(map[string]pool), lost: make(map[string]pool),
		replaced: make(map[string]bool), started: make(map[string]start),
		refused: make(map[Offer]refusal),
	}
}

// starts returns the VMs to start now. targets holds the desired models of each
// runner.
func (f *fleet) starts(inputs Inputs, targets map[string]target, now time.Time) []hosting.StartRequest {
	f.update(inputs, targets, now)
	if now.Before(f.pausedUntil) {
		return nil
	}
	live := f.live(inputs)
	var requests []hosting.StartRequest
	for _, p := range f.pools() {
		shortfall := f.wanted(p, live[p], inputs) - len(live[p]) - f.pending(p)
		if shortfall <= 0 {
			f.forgetLost(p)
		}
		for _, identity := range f.identities(p, live[p], shortfall) {
			offer, found := f.offer(p, inputs, now)
			if !found {
				break
			}
			requests = append(requests, hosting.StartRequest{
				Identity: identity, Role: p.role, Zone: offer.Zone, Class: offer.Class,
				Reclaimable: offer.Reclaimable, Models: modelsOf(p), Service: p.service,
			})
		}
	}
	return requests
}

// update brings the state up to date with the listed VMs.
func (f *fleet) update(inputs Inputs, targets map[string]target, now time.Time) {
	listed := make(map[string]pool, len(inputs.VMs))
	for _, vm := range inputs.VMs {
		if vm.Role == hosting.RoleEntry {
			continue
		}
		listed[vm.Name] = f.currentPool(vm, targets)
		delete(f.lost, vm.Name)
		if vm.Leaving && !f.replaced[vm.Name] {
			f.lost[vm.Name] = listed[vm.Name]
		}
	}
	for name, p := range f.seen {
		if _, isListed := listed[name]; !isListed && !f.replaced[name] {
			f.lost[name] = p
		}
	}
	f.seen = listed
	maps.DeleteFunc(f.replaced, func(name string, _ bool) bool {
		_, isListed := listed[name]
		return !isListed
	})
	maps.DeleteFunc(f.started, func(_ string, s start) bool {
		_, isListed := listed[s.vm]
		return isListed || !now.Before(s.until)
	})
}

// currentPool returns the pool of a VM. A VM that is leaving stays in its
// last pool.
func (f *fleet) currentPool(vm hosting.VM, targets map[string]target) pool {
	if wanted, found := targets[vm.Name]; found {
		vm.Models = wanted.models
		return poolOf(vm)
	}
	if known, found := f.seen[vm.Name]; found {
		return known
	}
	return poolOf(vm)
}

// forgetLost drops the lost VMs of a pool that needs no replacements. Those that
// are still listed are kept.
func (f *fleet) forgetLost(p pool) {
	maps.DeleteFunc(f.lost, func(name string, lostPool pool) bool {
		_, isListed := f.seen[name]
		return lostPool == p && !isListed
	})
}

// live returns the sorted names of the VMs that are not leaving, by pool.
func (f *fleet) live(inputs Inputs) map[pool][]string {
	live := make(map[pool][]string)
	for _, vm := range inputs.VMs {
		if vm.Role != hosting.RoleEntry && !vm.Leaving {
			live[f.seen[vm.Name]] = append(live[f.seen[vm.Name]], vm.Name)
		}
	}
	for _, names := range live {
		slices.Sort(names)
	}
	return live
}

// wanted returns how many VMs a pool should have: as many as its demand needs, up
// to MaxRunners, or as many as it had if its demand is not known.
func (f *fleet) wanted(p pool, live []string, inputs Inputs) int {
	at := slices.IndexFunc(inputs.Demands, func(demand Demand) bool {
		return p.role == hosting.RoleRunner && demand.Model == p.model
	})
	if at < 0 {
		return len(live) + f.pending(p) + len(f.lostOf(p))
	}
	rate := max(inputs.Demands[at].Rate, inputs.Demands[at].Peak)
	needed := math.Ceil(rate / (f.options.RunnerCapacity * f.options.HighUtilization))
	return int(min(needed, float64(f.options.MaxRunners)))
}

func (f *fleet) pending(p pool) int {
	count := 0
	for _, s := range f.started {
		if s.pool == p {
			count++
		}
	}
	return count
}

// lostOf returns the names of the lost VMs of a pool, sorted.
func (f *fleet) lostOf(p pool) []string {
	var names []string
	for name, lostPool := range f.lost {
		if lostPool == p {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// pools returns all known pools, sorted.
func (f *fleet) pools() []pool {
	known := make(map[pool]bool)
	for _, p := range f.seen {
		known[p] = true
	}
	for _, p := range f.lost {
		known[p] = true
	}
	return slices.SortedFunc(maps.Keys(known), comparePools)
}
