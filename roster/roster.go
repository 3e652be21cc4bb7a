// Package roster keeps track of the VMs: which ones are there, which are
// leaving and which do not answer. It combines the platform's VM list, the
// cloud's notices, the reports of peers and what the daemon's own requests
// show. The most pessimistic source decides about new work, and only the VM
// list brings a VM in.
//
// The package has no input or output.
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
	// AnswersToRestore is the number of probes in a row that have to succeed
	// before a suspected VM gets new work again.
	AnswersToRestore = 2
	// ProbeDelay is the time from a failure to the first probe. It doubles
	// with each failed probe up to MaxProbeDelay.
	ProbeDelay = time.Second
	// MaxProbeDelay bounds the time between probes.
	MaxProbeDelay = 30 * time.Second
	// ProbeTimeout is how long an unfinished probe keeps others away.
	ProbeTimeout = 10 * time.Second
	// ReportRetention is how long a leaving report about a VM that is not
	// listed is kept after its deadline.
	ReportRetention = 24 * time.Hour
)

// State says whether a VM gets new work.
type State string

// The states of a VM.
const (
	// Serving VMs get new work.
	Serving State = "Serving"
	// Suspected VMs get single requests as probes.
	Suspected State = "Suspected"
	// Leaving VMs get no new work, ever.
	Leaving State = "Leaving"
	// Gone VMs have been dropped from the list, or were never in it.
	Gone State = "Gone"
)

// Member is a listed VM with what is known about it.
type Member struct {
	VM    hosting.VM
	State State
	// Deadline is when a leaving VM stops; the zero time when it is not
	// known.
	Deadline time.Time
	// ProbeAt is when a suspected VM may get its next request.
	ProbeAt time.Time

	// failures counts the failures since the last answer, answers the
	// probes that succeeded since the last failure.
	failures int
	answers  int
}

// report is a statement that a VM is leaving.
type report struct {
	// deadline is the earliest known one; zero when none is known.
	deadline time.Time
	// expires is when the report is dropped unless the VM is listed.
	expires time.Time
}

// Roster is the state of all VMs. It is immutable: Apply returns a new one,
// and readers may keep the old one.
type Roster struct {
	version uint64
	// members holds the listed VMs, ordered by name. A change of one of them
	// replaces the slice and the pointer.
	members []*Member
	// index finds the members; it is replaced with every version of the
	// list.
	index *index
	// reports holds what notices, peers and the list have said about leaving
	// VMs, also about VMs that are not listed yet. Reports of listed VMs are
	// never removed.
	reports map[string]report
}

// New returns an empty roster.
func New() Roster {
	return Roster{index: newIndex(nil)}
}

// Apply returns the roster after an event and the changes to act on.
func (r Roster) Apply(event Event, now time.Time) (Roster, []Effect) {
	return event.apply(r, now)
}

// Version returns the version of the VM list.
func (r Roster) Version() uint64 { return r.version }

// Member returns what is known about a VM. A VM that is not listed has the
// state Gone, or Leaving when it was reported ahead of the list.
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

// with returns the roster with one listed member replaced.
func (r Roster) with(member Member) Roster {
	r.members = slices.Clone(r.members)
	r.members[r.index.byName[member.VM.Name]] = &member
	return r
}
