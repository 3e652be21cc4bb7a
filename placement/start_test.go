package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/placement"
	"github.com/cranberrywalk/cranberrywalk/plan"
)

// offers lists what two zones offer. Zone z2 is the more expensive one.
var offers = []placement.Offer{
	{Zone: "z1", Class: "c", Price: 3},
	{Zone: "z2", Class: "c", Price: 3.6},
	{Zone: "z2", Class: "c", Reclaimable: true, Price: 1.2},
	{Zone: "z1", Class: "c", Reclaimable: true, Price: 1},
}

// newFleetRig returns a rig with three runners and one plain service. The planner
// has already seen them listed.
func newFleetRig(t *testing.T) *rig {
	r := newRig(t, "a", "a", "a")
	r.inputs.VMs = append(r.inputs.VMs, hosting.VM{Name: "s0", Role: hosting.RoleService, Service: "s", Zone: "z1", Class: "c"})
	r.inputs.Offers = offers
	r.Assert(r.requests(), qt.HasLen, 0)
	return r
}

func (r *rig) requests() []hosting.StartRequest {
	return r.planner.Plan(r.inputs, r.now).Starts
}

// starts runs the planner and returns its start requests as text.
func (r *rig) starts() []string {
	starts := []string{}
	for _, request := range r.requests() {
		starts = append(starts, text(request))
	}
	return starts
}

func text(request hosting.StartRequest) string {
	kind := "on-demand"
	if request.Reclaimable {
		kind = "reclaimable"
	}
	return fmt.Sprint(request.Identity, " ", request.Zone, " ", kind)
}

func TestLostVMIsReplaced(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		fault  func(r *rig)
		starts []string
	}{
		{"nothing is lost", func(*rig) {}, []string{}},
		{"runner is leaving", func(r *rig) { r.inputs.VMs[1].Leaving = true }, []string{"Replace/r1 z1 reclaimable"}},
		{"runner is gone", func(r *rig) { r.inputs.VMs = r.inputs.VMs[1:] }, []string{"Replace/r0 z1 reclaimable"}},
		{"service is gone", func(r *rig) { r.inputs.VMs = r.inputs.VMs[:3] }, []string{"Replace/s0 z1 reclaimable"}},
		{"two runners are gone at once", func(r *rig) { r.inputs.VMs = r.inputs.VMs[2:] },
			[]string{"Replace/r0 z1 reclaimable", "Replace/r1 z1 reclaimable"}},
		{"demand needs one of two", func(r *rig) {
			r.inputs.VMs = r.inputs.VMs[2:]
			r.demand(1.5, 0)
		}, []string{"Replace/r0 z1 reclaimable"}},
		{"zone is not allowed", func(r *rig) {
			r.inputs.VMs[1].Leaving = true
			r.inputs.Allowances[0].Zones = []string{"z2"}
		}, []string{"Replace/r1 z2 reclaimable"}},
		{"zone that all plans may use", func(r *rig) {
			r.inputs.VMs[1].Leaving = true
			r.inputs.Allowances = append(r.inputs.Allowances,
				plan.Allowance{Plan: "q", Models: []string{"a"}, Zones: []string{"z2"}})
		}, []string{"Replace/r1 z2 reclaimable"}},
		{"model is not allowed", func(r *rig) {
			r.inputs.VMs[1].Leaving = true
			r.inputs.Allowances = nil
		}, []string{}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newFleetRig(t)
			scenario.fault(r)
			r.Assert(r.starts(), qt.DeepEquals, scenario.starts)
		})
	}
}

func TestRunnersAreStartedForPeakDemand(t *testing.T) {
	r := newFleetRig(t)
	r.inputs.Demands = []placement.Demand{{Model: "a", Rate: 1, Peak: 3.3 * options.RunnerCapacity}}
	first := r.starts()
	r.Assert(first, qt.HasLen, 2)
	r.Assert(first[0], qt.Not(qt.Equals), first[1])
	// Another holder of the duty computes the same identities.
	r.planner = placement.New(options)
	r.Assert(r.starts(), qt.DeepEquals, first)
	r.inputs.Demands[0].Peak = 1e9 * options.RunnerCapacity
	r.Assert(r.starts(), qt.HasLen, options.MaxRunners-3)
}

func TestRefusedStartGoesToNextOfferAndBacksOff(t *testing.T) {
	r := newFleetRig(t)
	r.inputs.VMs[1].Leaving = true
	for _, expected := range []string{"z1 reclaimable", "z2 reclaimable", "z1 on-demand", "z2 on-demand"} {
		requests := r.requests()
		r.Assert(requests, qt.HasLen, 1)
		r.Assert(text(requests[0]), qt.Equals, "Replace/r1 "+expected)
		r.planner.Refused(requests[0], r.now)
	}
	r.Assert(r.starts(), qt.DeepEquals, []string{})

	waits := []time.Duration{}
	for range 9 {
		from := r.now
		for len(r.requests()) == 0 {
			r.now = r.now.Add(time.Second)
		}
		waits = append(waits, r.now.Sub(from))
		for _, request := range r.requests() {
			r.Assert(text(request), qt.Equals, "Replace/r1 z1 reclaimable")
			r.planner.Refused(request, r.now)
		}
		for requests := r.requests(); len(requests) > 0; requests = r.requests() {
			r.planner.Refused(requests[0], r.now)
		}
	}
	r.Assert(waits[:3], qt.DeepEquals, []time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second})
	r.Assert(waits[8], qt.Equals, options.BackoffMax)
}

func TestStartedVMIsWaitedFor(t *testing.T) {
	r := newFleetRig(t)
	r.inputs.VMs[1].Leaving = true
	request := r.requests()[0]
	r.planner.Started(request, hosting.VM{Name: "new"}, r.now)
	r.Assert(r.starts(), qt.DeepEquals, []string{})
	// The VM is never listed.
	r.now = r.now.Add(options.OrderTimeout)
	r.demand(2.3, 0)
	r.Assert(r.starts(), qt.HasLen, 1)
}

func TestReplacementIsListedBeforeLostVMIsGone(t *testing.T) {
	r := newFleetRig(t)
	r.inputs.VMs[1].Leaving = true
	r.planner.Started(r.requests()[0], hosting.VM{Name: "new"}, r.now)
	added := r.inputs.VMs[0]
	added.Name = "new"
	r.inputs.VMs = append(r.inputs.VMs, added)
	r.Assert(r.starts(), qt.DeepEquals, []string{})
	r.inputs.VMs = append(r.inputs.VMs[:1], r.inputs.VMs[2:]...)
	r.Assert(r.starts(), qt.DeepEquals, []string{})
	r.now = r.now.Add(time.Hour)
	r.Assert(r.starts(), qt.DeepEquals, []string{})
}

func TestUnansweredStartIsRepeatedWithItsIdentity(t *testing.T) {
	r := newFleetRig(t)
	r.inputs.VMs[1].Leaving = true
	first := r.starts()
	r.planner.Unanswered(r.now)
	r.Assert(r.starts(), qt.DeepEquals, []string{})
	r.now = r.now.Add(options.BackoffMin)
	r.Assert(r.starts(), qt.DeepEquals, first)
}

func TestOffersAreThoseOfListedVMs(t *testing.T) {
	c := qt.New(t)
	vm := hosting.VM{Zone: "z", Class: "c", Reclaimable: true, Price: 2}
	cheaper := vm
	cheaper.Price = 1
	c.Assert(placement.OffersOf([]hosting.VM{vm, cheaper, {Zone: "z", Class: "c", Price: 3}}), qt.DeepEquals,
		[]placement.Offer{{Zone: "z", Class: "c", Reclaimable: true, Price: 1}, {Zone: "z", Class: "c", Price: 3}})
}
