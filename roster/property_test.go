package roster_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/roster"
)

// listVersions draws versions of a VM list as a platform produces them: VMs are
// added, start leaving and are removed, and no name is reused.
func listVersions(t *rapid.T) []roster.Listed {
	live := make(map[string]hosting.VM)
	var versions []roster.Listed
	names := 0
	for version := range rapid.IntRange(1, 8).Draw(t, "versions") {
		for range rapid.IntRange(0, 2).Draw(t, "arrivals") {
			vm := runner(fmt.Sprint("R", names))
			names++
			live[vm.Name] = vm
		}
		for _, name := range slices.Sorted(maps.Keys(live)) {
			switch rapid.IntRange(0, 5).Draw(t, "change") {
			case 0:
				delete(live, name)
			case 1:
				leaving := live[name]
				leaving.Leaving = true
				live[name] = leaving
			}
		}
		vms := slices.Collect(maps.Values(live))
		versions = append(versions, listed(uint64(version+1), vms...))
	}
	return versions
}

// leavingReports draws notices, and reports of peers, that some VMs are leaving.
func leavingReports(t *rapid.T) []roster.Event {
	var events []roster.Event
	for range rapid.IntRange(0, 8).Draw(t, "reports") {
		name := fmt.Sprint("R", rapid.IntRange(0, 3).Draw(t, "vm"))
		deadline := start.Add(time.Duration(rapid.IntRange(1, 3).Draw(t, "minutes")) * time.Minute)
		if rapid.Bool().Draw(t, "notice") {
			events = append(events, roster.Noticed{Notice: hosting.Notice{VM: name, Deadline: deadline}})
		} else {
			events = append(events, roster.Reported{VM: name})
		}
	}
	return events
}

// shuffledWithDuplicates draws an order of the events in which some occur twice.
func shuffledWithDuplicates(t *rapid.T, events []roster.Event) []roster.Event {
	if len(events) == 0 {
		return nil
	}
	duplicates := rapid.SliceOfN(rapid.SampledFrom(events), 0, 4).Draw(t, "doubled")
	return rapid.Permutation(slices.Concat(events, duplicates)).Draw(t, "order")
}

// summary returns the state of every listed backend server and the usable ones.
func summary(r roster.Roster) []string {
	var lines []string
	for _, member := range r.Backends() {
		lines = append(lines, fmt.Sprint(member.VM.Name, member.State, member.Deadline.Unix()))
	}
	return append(lines, fmt.Sprint("usable", names(r.Usable(start))))
}

func TestStateConvergesForAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := listVersions(t)
		events := leavingReports(t)
		for _, version := range versions {
			events = append(events, version)
		}
		// Every daemon receives the newest version last; which of the older
		// ones it sees varies.
		newest := versions[len(versions)-1]
		first, _, _ := applyAll(append(shuffledWithDuplicates(t, events), newest)...)
		second, _, _ := applyAll(append(shuffledWithDuplicates(t, events), newest)...)

		if a, b := summary(first), summary(second); !slices.Equal(a, b) {
			t.Fatalf("states differ for two orders of the events: %v and %v", a, b)
		}
	})
}

func TestLeavingIsFinalAndOnlyTheListAddsVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var events []roster.Event
		for _, version := range listVersions(t) {
			events = append(events, version)
		}
		events = append(events, leavingReports(t)...)
		for range rapid.IntRange(0, 12).Draw(t, "results") {
			name := fmt.Sprint("R", rapid.IntRange(0, 2).Draw(t, "vm"))
			events = append(events, rapid.SampledFrom([]roster.Event{
				roster.Failed{VM: name}, roster.Succeeded{VM: name}, roster.Probed{VM: name},
			}).Draw(t, "result"))
		}
		r, now := roster.New(), start
		hasLeft, everListed := make(map[string]bool), make(map[string]bool)
		for _, event := range shuffledWithDuplicates(t, events) {
			now = now.Add(time.Second)
			var effects []roster.Effect
			r, effects = r.Apply(event, now)
			if version, ok := event.(roster.Listed); ok {
				addNames(everListed, version.Snapshot.VMs)
			}
			for _, effect := range effects {
				if effect.Kind == roster.BecameLeaving && hasLeft[effect.VM.Name] {
					t.Fatalf("%s entered the state Leaving twice", effect.VM.Name)
				}
				hasLeft[effect.VM.Name] = hasLeft[effect.VM.Name] || effect.Kind == roster.BecameLeaving
			}
			for _, name := range names(r.Usable(now.Add(time.Hour))) {
				if hasLeft[name] || !everListed[name] {
					t.Fatalf("%s is usable after %T", name, event)
				}
			}
		}
	})
}

func addNames(names map[string]bool, vms []hosting.VM) {
	for _, vm := range vms {
		names[vm.Name] = true
	}
}

func TestReportsAboutUnlistedVMsExpire(t *testing.T) {
	c := qt.New(t)
	r, _, now := applyAll(roster.Noticed{Notice: hosting.Notice{VM: "A"}})
	c.Assert(r.Member("A").State, qt.Equals, roster.Leaving)
	r, _ = r.Apply(listed(1, runner("B")), now.Add(2*roster.ReportRetention))
	c.Assert(r.Member("A").State, qt.Equals, roster.Gone)
}
