package e2e_test

import (
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/e2e"
	"github.com/cranberrywalk/cranberrywalk/fleet"
)

// awaitEvent waits until the timeline, read with the settings of a daemon, has an event
// of the kind.
func awaitEvent(d *e2e.Driver, daemon, kind string) {
	d.Helper()
	err := fleet.Await(daemon, kind, 30*time.Second, func() bool {
		return d.Command("timeline", "--settings", d.Fleet.SettingsPath(daemon), "--kind", kind) != ""
	})
	d.Assert(err, qt.IsNil)
}

func lostRunnerReplaced(d *e2e.Driver) {
	d.Runners(e2e.ZoneA, "runner-a-1").Spare("spare-1").OrderingDaemon(e2e.ZoneA, "entry-a-1").Publish(1)
	awaitEvent(d, "entry-a-1", "LeaseChanged")

	d.Assert(d.Fleet.AnnounceReclaim(time.Second, "runner-a-1"), qt.IsNil)

	d.AwaitServing("entry-a-1", 2)
	d.Kill("runner-a-1")
	d.Chat("entry-a-1", "on the new VM", tokens).AssertComplete("on the new VM", tokens)
}

func leaseTakenOver(d *e2e.Driver) {
	d.Runners(e2e.ZoneA, "runner-a-1").Spare("spare-1").OrderingDaemon(e2e.ZoneA, "entry-a-1").Publish(1)
	awaitEvent(d, "entry-a-1", "LeaseChanged")
	d.OrderingDaemon(e2e.ZoneB, "entry-b-1").AwaitServing("entry-b-1", 1)

	d.Kill("entry-a-1")
	awaitEvent(d, "entry-b-1", "LeaseChanged")
	d.Assert(d.Fleet.AnnounceReclaim(time.Second, "runner-a-1"), qt.IsNil)

	d.AwaitServing("entry-b-1", 2)
	d.Kill("runner-a-1")
	d.Chat("entry-b-1", "after the lease takeover", tokens).AssertComplete("after the lease takeover", tokens)
	d.Assert(d.Metric("entry-b-1", "Order.Starts"), qt.Equals, int64(1))
}
