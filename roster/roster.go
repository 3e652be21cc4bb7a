// Package roster tracks the state of the VMs. It combines the platform's VM
// list, the cloud's reclaim notices, the reports of peers and the results of
// the daemon's own requests. The most pessimistic source decides whether a VM
// gets new work, and only the VM list adds a VM.
//
// The package does no I/O.
package roster

import (
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

const (
	// FailuresToSuspect is the number of failures in a row after which a VM
	// is suspected.
	FailuresToSuspect = 3
	// ProbesToRestore is the number of probes in a row that have to succeed
	// before a suspected VM gets new work again.
	ProbesToRestore = 2
	// ProbeDelay is the time from a failure to the first probe. It doubles
	// with each failed probe up to MaxProbeDelay.
	ProbeDelay = time.Second
	// MaxProbeDelay bounds the time between probes.
	MaxProbeDelay = 30 * time.Second
	// ProbeTimeout is how long a pending probe keeps other requests away from
	// the VM.
	ProbeTimeout = 10 * time.Second
	// ReportRetention is how long a report that an unlisted VM is leaving is
	// kept after its deadline.
	ReportRetention = 24 * time.Hour
)

// State determines whether a VM gets new work.
type State string

// The states of a VM.
const (
	// Serving VMs get new work.
	Serving State = "Serving"
	// Suspected VMs get single requests as probes.
	Suspected State = "Suspected"
	// Leaving VMs never get new work again.
	Leaving State = "Leaving"
	// Gone VMs have been removed from the list or were never in it.
	Gone State = "Gone"
)

// Member is a listed VM with its state.
type Member struct {
	VM    hosting.VM
	State State
	// Deadline is when a leaving VM stops; zero when unknown.
	Deadline time.Time
	// ProbeAt is when a suspected VM may get its next request.
	ProbeAt time.Time

	// failures counts the failures in a row, and probesSucceeded the probes
	// that succeeded since the last failure.
	failures        int
	probesSucceeded int
}

// report is a statement that a VM is leaving.
type report struct {
	// deadline is the earliest one reported; zero when unknown.
	deadline time.Time
	// expires is when the report is removed unless the VM is listed.
	expires time.Time
}

// Roster is an immutable snapshot of the state of all VMs: Apply returns a new
// one, and readers may keep the old one.
type Roster struct {
	version uint64
	// members holds the listed VMs, ordered by name. It is copied on write: a
	// change of one member replaces the slice and the pointer.
	members []*Member
	// index looks up members; it is replaced with every version of the list.
	index *index
	// reports holds, by VM, the reports that a VM is leaving. They come from
	// notices, peers and the list, also for VMs that are not listed yet. The
	// report of a listed VM is never removed.
	reports map[string]report
}

// New returns an empty roster.
func New() Roster {
	return Roster{index: newIndex(nil)}
}

// Apply returns the roster after an event and the resulting effects.
func (r Roster) Apply(event Event, now time.Time) (Roster, []Effect) {
	return event.apply(r, now)
}

// Version returns the version of the VM list.
func (r Roster) Version() uint64 { return r.version }

// Member returns a VM with its state. A VM that is not listed has the state
// Gone, or Leaving when a report about it arrived before the list.
func (r Roster) Member(vm string) Member {
	if member, listed := r.member(vm); listed {
		return *member
	}
	if report, reported := r.reports[vm]; reported {
		return Member{VM: hosting.VM{Name: vm}, State: Leaving, Deadline: report.deadline}
	}
	return Member{VM: hosting.VM{Name: vm}, State: Gone}
}

// Len returns the number of listed VMs.
func (r Roster) Len() int { return len(r.members) }

func (r Roster) member(vm string) (*Member, bool) {
	position, listed := r.index.byName[vm]
	if !listed {
		return nil, false
	}
	return r.members[position], true
}

// withMember returns the roster with one listed member replaced.
func (r Roster) withMember(member Member) Roster {
	r.members = slices.Clone(r.members)
	r.members[r.index.byName[member.VM.Name]] = &member
	return r
}
