package daemon

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/plan"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/roster"
	"github.com/cranberrywalk/cranberrywalk/settings"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

func runner(name, zone string) hosting.VM {
	return hosting.VM{Name: name, Role: hosting.RoleRunner, Region: "r", Zone: zone, Address: "127.0.0.1:1", Models: []string{"notes"}}
}

// newTestChooser returns a chooser with two runners in different zones and one plain
// service; a runner of another region must be ignored.
func newTestChooser() *chooser {
	common := telemetry.NewCommon()
	common.Clock = clock.NewFake(noon)
	watcher := newRosterWatcher(common, "r", nil, nil, 0, 0)
	s := settings.Default()
	s.Daemon.Region, s.Daemon.Zone, s.Daemon.Name = "r", "a", "one"
	c := newChooser(s, watcher)
	watcher.onChange = func(r roster.Roster, _ []roster.Effect) { c.setMembers(r.Backends()) }
	service := hosting.VM{Name: "service-a", Role: hosting.RoleService, Region: "r", Zone: "a", Address: "127.0.0.1:2", Service: "placements"}
	otherRegion := runner("runner-far", "a")
	otherRegion.Region = "elsewhere"
	vms := []hosting.VM{runner("runner-a", "a"), runner("runner-b", "b"), service, otherRegion}
	watcher.apply(roster.Listed{Snapshot: watcher.relevant(hosting.VMSnapshot{Version: 1, VMs: vms})})
	return c
}

func chat(allowance plan.Allowance) request.Request {
	return request.Request{ID: "1", Kind: request.Chat, Model: "notes", Allowance: allowance}
}

func TestChooserObeysAllowanceRosterAndExclusion(t *testing.T) {
	scenarios := []struct {
		name     string
		request  request.Request
		excluded []string
		event    roster.Event
		expected string
	}{
		{"own zone is nearer", chat(plan.Allowance{}), nil, nil, "runner-a"},
		{"allowance names another zone", chat(plan.Allowance{Zones: []string{"b"}}), nil, nil, "runner-b"},
		{"runner has been tried", chat(plan.Allowance{}), []string{"runner-a"}, nil, "runner-b"},
		{"zone is avoided", chat(plan.Allowance{}).WithAvoidedZones([]string{"a"}), nil, nil, "runner-b"},
		{"runner is leaving", chat(plan.Allowance{}), nil, roster.Noticed{Notice: hosting.Notice{Sequence: 1, VM: "runner-a"}}, "runner-b"},
		{"plain service", request.Request{ID: "1", Kind: request.Service, Service: "placements"}, nil, nil, "service-a"},
		{"allowed zone has no runner", chat(plan.Allowance{Zones: []string{"c"}}), nil, nil, ""},
		{"no such service", request.Request{ID: "1", Kind: request.Service, Service: "loans"}, nil, nil, ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			chooser := newTestChooser()
			if s.event != nil {
				chooser.rosterWatcher.apply(s.event)
			}
			target, err := chooser.Choose(s.request, s.excluded, noon)
			c.Assert(target.Name, qt.Equals, s.expected)
			var none *dispatch.NoBackendError
			c.Assert(errors.As(err, &none), qt.Equals, s.expected == "")
		})
	}
}

func TestRosterLeavesOutBackendsOfOtherRegions(t *testing.T) {
	c := qt.New(t)
	c.Assert(newTestChooser().rosterWatcher.Roster().Backends(), qt.HasLen, 3)
}

func TestChooserCountsAttemptsOnce(t *testing.T) {
	c := qt.New(t)
	chooser := newTestChooser()
	r := chat(plan.Allowance{})
	target, err := chooser.Choose(r, nil, noon)
	c.Assert(err, qt.IsNil)
	chooser.AttemptStarted(target, r)
	chooser.AttemptStarted(target, r)
	c.Assert(chooser.ownLoads("one", noon)[0].InFlight, qt.Equals, 1)

	chooser.AttemptEnded(target, r, dispatch.Observation{})
	chooser.AttemptEnded(target, r, dispatch.Observation{Fault: backend.Closed})

	c.Assert(chooser.ownLoads("one", noon), qt.HasLen, 0)
	c.Assert(chooser.attempts, qt.HasLen, 0)
}
