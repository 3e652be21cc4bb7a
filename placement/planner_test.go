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

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	options = placement.DefaultOptions()
)

// rig is a planner with fake runners that can carry out its orders.
type rig struct {
	*qt.C
	now     time.Time
	planner *placement.Planner
	inputs  placement.Inputs
}

// newRig returns a rig with runners named r0, r1 and so on. Each has one model, or
// none if its name is empty.
func newRig(t *testing.T, models ...string) *rig {
	r := &rig{C: qt.New(t), now: start, planner: placement.New(options)}
	r.inputs.Reports = make(map[string]hosting.LoadReport)
	r.inputs.Allowances = []plan.Allowance{{Plan: "p", Models: []string{"a", "b"}, Services: []string{"s"}}}
	for i, model := range models {
		vm := hosting.VM{
			Name: fmt.Sprint("r", i), Role: hosting.RoleRunner, Zone: "z1", Class: "c",
			Reclaimable: true, Price: 1,
		}
		if model != "" {
			vm.Models = []string{model}
		}
		r.inputs.VMs = append(r.inputs.VMs, vm)
		r.inputs.Reports[vm.Name] = hosting.LoadReport{Models: vm.Models}
	}
	return r
}

// demand sets the loads of models a and b as multiples of the capacity of a runner.
func (r *rig) demand(a, b float64) {
	r.inputs.Demands = []placement.Demand{
		{Model: "a", Rate: a * options.RunnerCapacity}, {Model: "b", Rate: b * options.RunnerCapacity},
	}
}

// loads runs the planner and returns its load orders as text.
func (r *rig) loads() []string {
	loads := []string{}
	for _, load := range r.planner.Plan(r.inputs, r.now).Loads {
		loads = append(loads, fmt.Sprintf("%s%v%v", load.VM.Name, load.Models, load.Missing))
	}
	return loads
}

// carryOut sends the order to a runner and sets the models that it then reports.
func (r *rig) carryOut(vm string, models ...string) {
	r.planner.Ordered(vm, r.now)
	r.inputs.Reports[vm] = hosting.LoadReport{Models: models}
}

func TestModelsFollowDemand(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		models []string
		a, b   float64
		loads  []string
	}{
		{"even demand keeps models", []string{"a", "a", "b"}, 1.2, 0.7, []string{}},
		{"idle runner goes to an overloaded model", []string{"a", "", "b"}, 0.9, 0.3, []string{"r1[a][a]"}},
		{"spare runner goes to an overloaded model", []string{"a", "a", "a", "b"}, 0.9, 0.9, []string{"r0[b][b]"}},
		{"runner that its model needs is kept", []string{"a", "a", "b"}, 0.6, 0.9, []string{}},
		{"last runner of a model is kept", []string{"a", "b"}, 0, 0.9, []string{}},
		{"model without a runner gets one at low demand", []string{"a", "a"}, 0.7, 0.1, []string{"r0[b][b]"}},
		{"model without demand gets no runner", []string{"a", "a"}, 0.1, 0, []string{}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := newRig(t, scenario.models...)
			r.demand(scenario.a, scenario.b)
			r.Assert(r.loads(), qt.DeepEquals, scenario.loads)
		})
	}
}

func TestForbiddenClassIsNotGivenModel(t *testing.T) {
	r := newRig(t, "a", "", "b")
	r.demand(0.9, 0.3)
	r.inputs.Allowances[0].Classes = []string{"other"}
	r.Assert(r.loads(), qt.DeepEquals, []string{})
}

func TestUnknownDemandKeepsRunners(t *testing.T) {
	r := newRig(t, "a", "a", "a", "b")
	r.demand(0, 0.9)
	r.inputs.Demands = r.inputs.Demands[1:]
	r.Assert(r.loads(), qt.DeepEquals, []string{})
}

func TestModelsAreNotSwappedBackAndForth(t *testing.T) {
	r := newRig(t, "a", "a", "b", "b", "b")
	for i := range 200 {
		swing := 0.2 * float64(i%2)
		r.demand(1.7-swing, 1.5+swing)
		r.Assert(r.loads(), qt.DeepEquals, []string{})
		r.now = r.now.Add(10 * time.Second)
	}
}

func TestChangedRunnerKeepsItsModelsDuringCooldown(t *testing.T) {
	r := newRig(t, "a", "a", "b")
	r.demand(0.3, 0.9)
	r.Assert(r.loads(), qt.DeepEquals, []string{"r0[b][b]"})
	r.carryOut("r0", "b")
	r.demand(0.9, 0.1)
	// r0 is in its cooldown, so the other runner of b is the donor.
	r.Assert(r.loads(), qt.DeepEquals, []string{"r2[a][a]"})
	r.carryOut("r2", "a")
	r.demand(0.3, 0.9)
	r.Assert(r.loads(), qt.DeepEquals, []string{"r1[b][b]"})
	r.carryOut("r1", "b")
	r.demand(0.9, 0.1)
	r.Assert(r.loads(), qt.DeepEquals, []string{})
	r.now = r.now.Add(options.Cooldown)
	r.Assert(r.loads(), qt.DeepEquals, []string{"r0[a][a]"})
}

func TestOneRunnerLoadsAtATime(t *testing.T) {
	r := newRig(t, "", "", "b")
	r.demand(1.9, 0.3)
	r.Assert(r.loads(), qt.DeepEquals, []string{"r0[a][a]"})
	r.planner.Ordered("r0", r.now)
	r.Assert(r.loads(), qt.DeepEquals, []string{})
	// The order is repeated to a runner that does not report the model in time.
	r.now = r.now.Add(options.OrderTimeout)
	r.Assert(r.loads(), qt.DeepEquals, []string{"r0[a][a]"})
	r.carryOut("r0", "a")
	r.Assert(r.loads(), qt.DeepEquals, []string{"r1[a][a]"})
}

func TestLateOrderOfEarlierHolderIsCorrected(t *testing.T) {
	r := newRig(t, "a", "b")
	r.demand(0.3, 0.3)
	r.Assert(r.loads(), qt.DeepEquals, []string{})
	r.inputs.Reports["r0"] = hosting.LoadReport{Models: []string{"b", "x"}}
	r.Assert(r.loads(), qt.DeepEquals, []string{"r0[a][a]"})
	r.carryOut("r0", "x", "a")
	r.now = r.now.Add(options.OrderTimeout)
	r.Assert(r.loads(), qt.DeepEquals, []string{"r0[a][]"})
}

func TestUnreportedAndLeavingRunnersGetNoOrders(t *testing.T) {
	r := newRig(t, "a", "", "", "b")
	r.demand(0.9, 0.3)
	r.inputs.VMs[1].Leaving = true
	delete(r.inputs.Reports, "r2")
	r.Assert(r.loads(), qt.DeepEquals, []string{})
}
