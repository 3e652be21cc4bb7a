package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/platform"
)

func (e Listed) apply(r Roster, now time.Time) (Roster, []Effect) {
	if e.Snapshot.Version <= r.version {
		return r, nil
	}
	r.version = e.Snapshot.Version
	r.reports = maps.Clone(r.reports)
	if r.reports == nil {
		r.reports = make(map[string]report)
	}
	before := r.members
	r.members = make(map[string]Member, len(e.Snapshot.VMs))
	var effects []Effect
	for _, vm := range e.Snapshot.VMs {
		member, changed := r.list(vm, before, now)
		r.members[vm.Name] = member
		effects = append(effects, changed...)
	}
	effects = append(effects, r.dropped(before)...)
	r.forget(now)
	r.index = newIndex(r.members)
	return r, effects
}

// list returns the member for a listed VM. It joins what the list says with
// what was known before.
func (r Roster) list(vm platform.VM, before map[string]Member, now time.Time) (Member, []Effect) {
	if _, reported := r.reports[vm.Name]; vm.Leaving && !reported {
		r.reports[vm.Name] = report{expires: now.Add(ReportRetention)}
	}
	member, known := before[vm.Name]
	member.VM = vm
	var effects []Effect
	if !known {
		member.State = Serving
		effects = append(effects, Effect{Kind: Arrived, VM: vm})
	}
	if report, reported := r.reports[vm.Name]; reported {
		if member.State != Leaving {
			effects = append(effects, Effect{Kind: Left, VM: vm, Deadline: report.deadline})
		}
		member.State = Leaving
		member.Deadline = report.deadline
		member.VM.Leaving = true
	}
	return member, effects
}

// dropped returns the effects of VMs that are no longer listed and removes
// their reports.
func (r Roster) dropped(before map[string]Member) []Effect {
	var effects []Effect
	for name, member := range before {
		if _, listed := r.members[name]; listed {
			continue
		}
		delete(r.reports, name)
		effects = append(effects, Effect{Kind: Removed, VM: member.VM})
	}
	slices.SortFunc(effects, func(a, b Effect) int { return cmp.Compare(a.VM.Name, b.VM.Name) })
	return effects
}

// forget removes expired reports about VMs that are not listed.
func (r Roster) forget(now time.Time) {
	maps.DeleteFunc(r.reports, func(name string, report report) bool {
		_, listed := r.members[name]
		return !listed && now.After(report.expires)
	})
}
