package roster

import (
	"maps"
	"time"
)

func (e Noticed) apply(r Roster, now time.Time) (Roster, []Effect) {
	return r.markLeaving(e.Notice.VM, e.Notice.Deadline, now)
}

func (e Reported) apply(r Roster, now time.Time) (Roster, []Effect) {
	return r.markLeaving(e.VM, e.Deadline, now)
}

// markLeaving records that a VM is leaving. The earliest reported deadline wins.
func (r Roster) markLeaving(vm string, deadline, now time.Time) (Roster, []Effect) {
	known, reported := r.reports[vm]
	if reported && !isEarlier(deadline, known.deadline) {
		return r, nil
	}
	r.reports = maps.Clone(r.reports)
	if r.reports == nil {
		r.reports = make(map[string]report)
	}
	expires := now.Add(ReportRetention)
	if deadline.After(now) {
		expires = deadline.Add(ReportRetention)
	}
	r.reports[vm] = report{deadline: deadline, expires: expires}
	listed, ok := r.member(vm)
	if !ok {
		return r, nil
	}
	member := *listed
	var effects []Effect
	if member.State != Leaving {
		effects = append(effects, Effect{Kind: BecameLeaving, VM: member.VM, Deadline: deadline})
	}
	member.State = Leaving
	member.Deadline = deadline
	member.VM.Leaving = true
	return r.withMember(member), effects
}

// isEarlier reports whether deadline is set and before known, or known is not
// set. The zero time is an unknown deadline.
func isEarlier(deadline, known time.Time) bool {
	if deadline.IsZero() {
		return false
	}
	return known.IsZero() || deadline.Before(known)
}
