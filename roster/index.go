package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/platform"
)

// index groups the members for queries. It is built once for each roster and
// never changed, and its slices are handed out as they are.
type index struct {
	// serving holds the backend servers that get new work, by name.
	serving []platform.VM
	// byModel and byService hold the same VMs by what they run.
	byModel   map[string][]platform.VM
	byService map[string][]platform.VM
	// suspected holds the backend servers that may be probed, by name.
	suspected []Member
	// peers holds the entry VMs that are not leaving, by name.
	peers []platform.VM
}

func newIndex(members map[string]Member) *index {
	built := &index{
		byModel:   make(map[string][]platform.VM),
		byService: make(map[string][]platform.VM),
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		built.add(members[name])
	}
	return built
}

func (i *index) add(member Member) {
	switch {
	case member.VM.Role == platform.RoleEntry:
		i.peers = append(i.peers, member.VM)
	case member.State == Suspected:
		i.suspected = append(i.suspected, member)
	case member.State == Serving:
		i.addServing(member.VM)
	}
}

func (i *index) addServing(vm platform.VM) {
	i.serving = append(i.serving, vm)
	for _, model := range vm.Models {
		i.byModel[model] = append(i.byModel[model], vm)
	}
	if vm.Service != "" {
		i.byService[vm.Service] = append(i.byService[vm.Service], vm)
	}
}

// Usable returns the backend servers that may get new work: the serving ones,
// and each suspected one whose next probe is due. The caller does not change
// the slice.
func (r Roster) Usable(now time.Time) []platform.VM {
	return r.withProbes(r.index.serving, now, func(platform.VM) bool { return true })
}

// Runners returns the usable runners that serve the model.
func (r Roster) Runners(model string, now time.Time) []platform.VM {
	return r.withProbes(r.index.byModel[model], now, func(vm platform.VM) bool {
		return slices.Contains(vm.Models, model)
	})
}

// Services returns the usable VMs that run the plain service.
func (r Roster) Services(service string, now time.Time) []platform.VM {
	return r.withProbes(r.index.byService[service], now, func(vm platform.VM) bool {
		return vm.Service == service
	})
}

// withProbes adds the suspected VMs that may be probed now.
func (r Roster) withProbes(serving []platform.VM, now time.Time, wanted func(platform.VM) bool) []platform.VM {
	usable := serving
	for _, member := range r.index.suspected {
		if now.Before(member.ProbeAt) || !wanted(member.VM) {
			continue
		}
		usable = append(slices.Clip(usable), member.VM)
	}
	return usable
}

// Backends returns all listed backend servers with their states, by name.
func (r Roster) Backends() []Member {
	var backends []Member
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		if member := r.members[name]; member.VM.Role != platform.RoleEntry {
			backends = append(backends, member)
		}
	}
	return backends
}

// Peers returns the listed entry VMs, by name, also those that are leaving:
// they still serve their peers until they stop.
func (r Roster) Peers() []platform.VM { return r.index.peers }
