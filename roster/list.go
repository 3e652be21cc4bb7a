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
		member, changed := r.mergeListed(vm, before, now)
		r.members = append(r.members, &member)
		effects = append(effects, changed...)
	}
	slices.SortFunc(r.members, func(a, b *Member) int { return cmp.Compare(a.VM.Name, b.VM.Name) })
	r.members = slices.CompactFunc(r.members, func(a, b *Member) bool { return a.VM.Name == b.VM.Name })
	r.index = newIndex(r.members)
	effects = append(effects, r.removeUnlisted(before)...)
	r.expireReports(now)
	return r, effects
}

// mergeListed returns the member for a listed VM. It combines the VM's entry in the
// list with the previous state and with reports that the VM is leaving.
func (r Roster) mergeListed(vm hosting.VM, before Roster, now time.Time) (Member, []Effect) {
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
			effects = append(effects, Effect{Kind: BecameLeaving, VM: vm, Deadline: report.deadline})
		}
		member.State = Leaving
		member.Deadline = report.deadline
		member.VM.Leaving = true
	}
	return member, effects
}

// removeUnlisted removes the reports about VMs that are no longer listed and
// returns the effects.
func (r Roster) removeUnlisted(before Roster) []Effect {
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

// expireReports removes expired reports about VMs that are not listed.
func (r Roster) expireReports(now time.Time) {
	maps.DeleteFunc(r.reports, func(name string, report report) bool {
		_, listed := r.member(name)
		return !listed && now.After(report.expires)
	})
}
