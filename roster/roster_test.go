package roster_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/roster"
)

var start = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

func runner(name string) hosting.VM {
	return hosting.VM{Name: name, Role: hosting.RoleRunner, Zone: "ZoneA", Models: []string{"Small"}}
}

func listed(version uint64, vms ...hosting.VM) roster.Listed {
	return roster.Listed{Snapshot: hosting.VMSnapshot{Version: version, VMs: vms}}
}

// applyAll applies events one second apart and returns the last roster, the
// kinds of all effects and the time of the last event.
func applyAll(events ...roster.Event) (roster.Roster, []roster.EffectKind, time.Time) {
	r, now := roster.New(), start
	var kinds []roster.EffectKind
	for _, event := range events {
		now = now.Add(time.Second)
		var effects []roster.Effect
		r, effects = r.Apply(event, now)
		for _, effect := range effects {
			kinds = append(kinds, effect.Kind)
		}
	}
	return r, kinds, now
}

func names(vms []hosting.VM) []string {
	var names []string
	for _, vm := range vms {
		names = append(names, vm.Name)
	}
	return names
}

func TestEventsFromAllSources(t *testing.T) {
	a, b := runner("A"), runner("B")
	leavingB := b
	leavingB.Leaving = true
	notice := roster.Noticed{Notice: hosting.Notice{VM: "A", Deadline: start.Add(time.Minute)}}
	failed := roster.Failed{VM: "A"}
	for _, scenario := range []struct {
		name    string
		events  []roster.Event
		usable  []string
		effects []roster.EffectKind
		state   roster.State
	}{{
		name:    "the list adds VMs",
		events:  []roster.Event{listed(1, a, b)},
		usable:  []string{"A", "B"},
		effects: []roster.EffectKind{roster.Arrived, roster.Arrived},
		state:   roster.Serving,
	}, {
		name:    "a notice stays in force when the list lags",
		events:  []roster.Event{listed(1, a, b), notice, notice, listed(2, a, b)},
		usable:  []string{"B"},
		effects: []roster.EffectKind{roster.Arrived, roster.Arrived, roster.BecameLeaving},
		state:   roster.Leaving,
	}, {
		name:    "a notice precedes the list",
		events:  []roster.Event{notice, listed(1, a, b)},
		usable:  []string{"B"},
		effects: []roster.EffectKind{roster.Arrived, roster.BecameLeaving, roster.Arrived},
		state:   roster.Leaving,
	}, {
		name:    "a notice and an older list do not restore a removed VM",
		events:  []roster.Event{listed(1, a, b), listed(2, b), notice, listed(1, a, b)},
		usable:  []string{"B"},
		effects: []roster.EffectKind{roster.Arrived, roster.Arrived, roster.Removed},
		state:   roster.Leaving,
	}, {
		name:    "a peer's report counts like a notice",
		events:  []roster.Event{listed(1, a, b), roster.Reported{VM: "A"}, listed(2, a, leavingB)},
		effects: []roster.EffectKind{roster.Arrived, roster.Arrived, roster.BecameLeaving, roster.BecameLeaving},
		state:   roster.Leaving,
	}, {
		name: "results of requests do not restore a leaving VM",
		events: []roster.Event{
			listed(1, a, b), notice, failed, failed, failed, roster.Succeeded{VM: "A"}, roster.Succeeded{VM: "A"},
		},
		usable:  []string{"B"},
		effects: []roster.EffectKind{roster.Arrived, roster.Arrived, roster.BecameLeaving},
		state:   roster.Leaving,
	}, {
		name:    "a leaving VM that is removed from the list is gone",
		events:  []roster.Event{listed(1, a, b), notice, listed(2, b)},
		usable:  []string{"B"},
		effects: []roster.EffectKind{roster.Arrived, roster.Arrived, roster.BecameLeaving, roster.Removed},
		state:   roster.Gone,
	}, {
		name:    "consecutive failures make a VM suspected",
		events:  []roster.Event{listed(1, a, b), failed, failed, failed},
		usable:  []string{"B"},
		effects: []roster.EffectKind{roster.Arrived, roster.Arrived, roster.BecameSuspected},
		state:   roster.Suspected,
	}, {
		name:    "a success between failures keeps a VM serving",
		events:  []roster.Event{listed(1, a, b), failed, failed, roster.Succeeded{VM: "A"}, failed},
		usable:  []string{"A", "B"},
		effects: []roster.EffectKind{roster.Arrived, roster.Arrived},
		state:   roster.Serving,
	}} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			r, effects, now := applyAll(scenario.events...)
			c.Assert(names(r.Usable(now)), qt.DeepEquals, scenario.usable)
			c.Assert(effects, qt.DeepEquals, scenario.effects)
			c.Assert(r.Member("A").State, qt.Equals, scenario.state)
		})
	}
}

func TestSuspectedVMGetsOneProbeAtATime(t *testing.T) {
	c := qt.New(t)
	failed := roster.Failed{VM: "A"}
	r, _, now := applyAll(listed(1, runner("A")), failed, failed, failed)
	c.Assert(r.Usable(now), qt.HasLen, 0)

	now = now.Add(roster.ProbeDelay)
	c.Assert(r.Runners("Small", now), qt.HasLen, 1)
	r, _ = r.Apply(roster.Probed{VM: "A"}, now)
	c.Assert(r.Runners("Small", now), qt.HasLen, 0)

	r, _ = r.Apply(roster.Succeeded{VM: "A"}, now)
	c.Assert(r.Member("A").State, qt.Equals, roster.Suspected)
	r, effects := r.Apply(roster.Succeeded{VM: "A"}, now)
	c.Assert(effects[0].Kind, qt.Equals, roster.Restored)
	c.Assert(r.Member("A").State, qt.Equals, roster.Serving)
}
