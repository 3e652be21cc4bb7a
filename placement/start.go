package placement

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Started records the VM that was started for a request.
func (p *Planner) Started(request hosting.StartRequest, vm hosting.VM, now time.Time) {
	f := &p.fleet
	f.started[request.Identity] = start{
		pool: poolOfRequest(request), vm: vm.Name, until: now.Add(f.options.OrderTimeout),
	}
	delete(f.refused, offerOf(request))
	if name, isReplacement := strings.CutPrefix(request.Identity, replacePrefix); isReplacement {
		delete(f.lost, name)
		f.replaced[name] = true
	}
}

// Refused records that the cloud has no capacity for a start. The next decision
// picks another offer.
func (p *Planner) Refused(request hosting.StartRequest, now time.Time) {
	f := &p.fleet
	last := f.refused[offerOf(request)]
	wait := min(max(f.options.BackoffMin, 2*last.wait), f.options.BackoffMax)
	f.refused[offerOf(request)] = refusal{until: now.Add(wait), wait: wait}
}

// Unanswered records that a start failed or that its result is not known. It is
// retried with the same identity after BackoffMin.
func (p *Planner) Unanswered(now time.Time) {
	p.fleet.pausedUntil = now.Add(p.fleet.options.BackoffMin)
}

// replacePrefix is the prefix of the identity of a start that replaces a lost VM.
// It is followed by the name of the lost VM.
const replacePrefix = "Replace/"

// identities returns the identities of count starts for a pool. They depend only on
// the listed VMs, so that the next holder of the duty repeats a start with the same
// identity and gets the same VM.
func (f *fleet) identities(p pool, live []string, count int) []string {
	var identities []string
	for _, name := range f.lostOf(p) {
		identities = append(identities, replacePrefix+name)
	}
	hash := xxhash.Sum64String(strings.Join(live, "/"))
	for i := 0; len(identities) < count; i++ {
		identity := fmt.Sprintf("Add/%s%s/%016x/%d", p.model, p.service, hash, i)
		if _, isPending := f.started[identity]; !isPending {
			identities = append(identities, identity)
		}
	}
	return identities[:max(0, min(count, len(identities)))]
}

// offer returns the offer to try: reclaimable before on-demand, then usable by more
// of the plans that may call the model or service, then cheaper, then in the zone
// with fewer VMs.
func (f *fleet) offer(p pool, inputs Inputs, now time.Time) (Offer, bool) {
	var usable []Offer
	for _, offer := range inputs.Offers {
		if f.countPlans(p, offer, inputs) > 0 && !now.Before(f.refused[offer.kind()].until) {
			usable = append(usable, offer)
		}
	}
	if len(usable) == 0 {
		return Offer{}, false
	}
	return slices.MinFunc(usable, func(a, b Offer) int {
		return cmp.Or(
			compareBool(b.Reclaimable, a.Reclaimable),
			cmp.Compare(f.countPlans(p, b, inputs), f.countPlans(p, a, inputs)),
			cmp.Compare(a.Price, b.Price),
			cmp.Compare(countVMsIn(inputs, a.Zone), countVMsIn(inputs, b.Zone)),
			cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Class, b.Class),
		)
	}), true
}

// countPlans returns the number of plans that may use a VM of the offer for the
// pool.
func (f *fleet) countPlans(p pool, offer Offer, inputs Inputs) int {
	count := 0
	for _, allowance := range inputs.Allowances {
		err := allowance.PermitModel(p.model)
		if p.role == hosting.RoleService {
			err = allowance.PermitService(p.service)
		}
		if err == nil && allowance.AllowsVM(offer.Zone, offer.Class) {
			count++
		}
	}
	return count
}

func countVMsIn(inputs Inputs, zone string) int {
	count := 0
	for _, vm := range inputs.VMs {
		if vm.Zone == zone && !vm.Leaving {
			count++
		}
	}
	return count
}

func offerOf(request hosting.StartRequest) Offer {
	return Offer{Zone: request.Zone, Class: request.Class, Reclaimable: request.Reclaimable}
}

func poolOf(vm hosting.VM) pool {
	p := pool{role: vm.Role, service: vm.Service}
	if vm.Role == hosting.RoleRunner && len(vm.Models) > 0 {
		p.model = slices.Min(vm.Models)
	}
	return p
}

func poolOfRequest(request hosting.StartRequest) pool {
	return poolOf(hosting.VM{Role: request.Role, Service: request.Service, Models: request.Models})
}

func modelsOf(p pool) []string {
	if p.model == "" {
		return nil
	}
	return []string{p.model}
}

func comparePools(a, b pool) int {
	return cmp.Or(cmp.Compare(a.role, b.role), cmp.Compare(a.model, b.model), cmp.Compare(a.service, b.service))
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}
