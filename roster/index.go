package roster

import (
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// index holds the positions of the members in a roster. It depends on the VM
// list alone and is immutable.
type index struct {
	byName    map[string]int
	byModel   map[string][]int
	byService map[string][]int
	// backends and peers hold the positions of the backend servers and of the
	// entry VMs.
	backends []int
	peers    []int
}

func newIndex(members []*Member) *index {
	built := &index{
		byName:    make(map[string]int, len(members)),
		byModel:   make(map[string][]int),
		byService: make(map[string][]int),
	}
	for position, member := range members {
		built.add(position, member.VM)
	}
	return built
}

func (i *index) add(position int, vm hosting.VM) {
	i.byName[vm.Name] = position
	if vm.Role == hosting.RoleEntry {
		i.peers = append(i.peers, position)
		return
	}
	i.backends = append(i.backends, position)
	for _, model := range vm.Models {
		i.byModel[model] = append(i.byModel[model], position)
	}
	if vm.Service != "" {
		i.byService[vm.Service] = append(i.byService[vm.Service], position)
	}
}

// IsUsable reports whether the VM may get new work: it is serving, or it is
// suspected and its next probe is due.
func (m *Member) IsUsable(now time.Time) bool {
	switch m.State {
	case Serving:
		return true
	case Suspected:
		return !now.Before(m.ProbeAt)
	}
	return false
}

// IsUsable reports whether the VM may get new work.
func (r Roster) IsUsable(vm string, now time.Time) bool {
	member, listed := r.member(vm)
	return listed && member.IsUsable(now)
}

// Usable returns the backend servers that may get new work, ordered by name.
func (r Roster) Usable(now time.Time) []hosting.VM { return r.usable(r.index.backends, now) }

// Runners returns the usable runners that serve the model, ordered by name.
func (r Roster) Runners(model string, now time.Time) []hosting.VM {
	return r.usable(r.index.byModel[model], now)
}

// Services returns the usable VMs that run the plain service, ordered by name.
func (r Roster) Services(service string, now time.Time) []hosting.VM {
	return r.usable(r.index.byService[service], now)
}

func (r Roster) usable(positions []int, now time.Time) []hosting.VM {
	var usable []hosting.VM
	for _, position := range positions {
		if member := r.members[position]; member.IsUsable(now) {
			usable = append(usable, member.VM)
		}
	}
	return slices.Clip(usable)
}

// Backends returns all listed backend servers with their states, ordered by
// name.
func (r Roster) Backends() []Member {
	backends := make([]Member, 0, len(r.index.backends))
	for _, position := range r.index.backends {
		backends = append(backends, *r.members[position])
	}
	return backends
}

// Leaving returns the listed backend servers that are leaving, ordered by name.
func (r Roster) Leaving() []Member {
	var leaving []Member
	for _, position := range r.index.backends {
		if member := r.members[position]; member.State == Leaving {
			leaving = append(leaving, *member)
		}
	}
	return leaving
}

// Peers returns the listed entry VMs, ordered by name. Those that are leaving
// are included, since they serve their peers until they stop.
func (r Roster) Peers() []hosting.VM {
	peers := make([]hosting.VM, 0, len(r.index.peers))
	for _, position := range r.index.peers {
		peers = append(peers, r.members[position].VM)
	}
	return peers
}
