package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
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
	before := r
	r.members = make([]*Member, 0, len(e.Snapshot.VMs))
	var effects []Effect
	for _, vm := range e.Snapshot.VMs {
		member, changed := r.list(vm, before, now)
		r.members = append(r.members, &member)
		effects = append(effects, changed...)
	}
	slices.SortFunc(r.members, func(a, b *Member) int { return cmp.Compare(a.VM.Name, b.VM.Name) })
	r.members = slices.CompactFunc(r.members, func(a, b *Member) bool { return a.VM.Name == b.VM.Name })
	r.index = newIndex(r.members)
	effects = append(effects, r.dropped(before)...)
	r.forget(now)
	return r, effects
}

// list returns the member for a listed VM. It joins what the list says with
// what was known before.
func (r Roster) list(vm hosting.VM, before Roster, now time.Time) (Member, []Effect) {
	if _, reported := r.reports[vm.Name]; vm.Leaving && !reported {
		r.reports[vm.Name] = report{expires: now.Add(ReportRetention)}
	}
	var member Member
	old, known := before.member(vm.Name)
	if known {
		member = *old
	}
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
func (r Roster) dropped(before Roster) []Effect {
	var effects []Effect
	for _, member := range before.members {
		if _, listed := r.member(member.VM.Name); listed {
			continue
		}
		delete(r.reports, member.VM.Name)
		effects = append(effects, Effect{Kind: Removed, VM: member.VM})
	}
	return effects
}

// forget removes expired reports about VMs that are not listed.
func (r Roster) forget(now time.Time) {
	maps.DeleteFunc(r.reports, func(name string, report report) bool {
		_, listed := r.member(name)
		return !listed && now.After(report.expires)
	})
}
