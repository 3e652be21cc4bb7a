package admin

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/plan"
	"github.com/cranberrywalk/cranberrywalk/roster"
)

// Health is the response body of /healthz and /readyz.
type Health struct {
	// Status is Alive, Ready or NotReady.
	Status string
	// Reason is why the daemon does not accept requests.
	Reason string `json:",omitempty"`
}

// Plans is the response body of /plans.
type Plans struct {
	// Offset is the log offset after the last applied record.
	Offset uint64
	// PlansVersion and AllowancesVersion are the versions of the two lists. A
	// change of a list has to be based on its version.
	PlansVersion      uint64
	AllowancesVersion uint64
	Plans             []plan.Plan
	Allowances        []plan.Allowance
}

// NewPlans returns the response body for a state.
func NewPlans(state plan.State) Plans {
	return Plans{
		Offset:            state.Offset(),
		PlansVersion:      state.Version(plan.ListPlans),
		AllowancesVersion: state.Version(plan.ListAllowances),
		Plans:             state.Plans(),
		Allowances:        state.Allowances(),
	}
}

// Backend is a backend server as the daemon sees it.
type Backend struct {
	VM    hosting.VM
	State roster.State
	// Deadline is when a leaving VM stops, if known.
	Deadline *time.Time `json:",omitempty"`
}

// Backends is the response body of /backends.
type Backends struct {
	Backends []Backend
	// Peers are the entry VMs, the daemon's own included.
	Peers []hosting.VM
}

func newBackends(members []roster.Member, peers []hosting.VM) Backends {
	view := Backends{Backends: make([]Backend, 0, len(members)), Peers: peers}
	for _, member := range members {
		backend := Backend{VM: member.VM, State: member.State}
		if !member.Deadline.IsZero() {
			backend.Deadline = &member.Deadline
		}
		view.Backends = append(view.Backends, backend)
	}
	return view
}
