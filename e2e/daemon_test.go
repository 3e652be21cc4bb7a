package e2e_test

import (
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/e2e"
	"github.com/cranberrywalk/cranberrywalk/fleet"
)

// pair starts two daemons, a runner and a plain service that takes a while.
func pair(d *e2e.Driver) *e2e.Driver {
	return d.Runners(e2e.ZoneA, "runner-a-1").PlainService(e2e.ZoneB, "service-b-1", time.Second).
		Daemon(e2e.ZoneA, "entry-a-1").Daemon(e2e.ZoneB, "entry-b-1").Publish(2)
}

func daemonStopsStreaming(d *e2e.Driver) {
	pair(d)
	question := "Who can teach physics in Darkhan?"
	call := d.Chat("entry-a-1", question, tokens).AwaitEvents(5)

	d.BeginStop("entry-a-1")

	call.AssertWhole(question, tokens)
	d.AwaitStopped("entry-a-1")
}

func daemonStopsClaiming(d *e2e.Driver) {
	pair(d)
	call := d.Confirm("entry-a-1", "stop")
	d.AwaitRuns("service-b-1", "stop", 1)

	d.BeginStop("entry-a-1")
	again := d.Confirm("entry-b-1", "stop")

	call.AssertAnswered()
	again.AssertAnswered()
	d.AwaitStopped("entry-a-1")
	d.Assert(d.Runs("service-b-1", "stop"), qt.Equals, 1)
}

func daemonKilledStreaming(d *e2e.Driver) {
	pair(d)
	question := "Who can teach music in Erdenet?"
	call := d.Chat("entry-a-1", question, tokens).AwaitEvents(5)

	d.Kill("entry-a-1")

	answer, _ := call.Result()
	d.Assert(answer.Whole, qt.IsFalse)
	d.Assert(answer.Outcome, qt.Not(qt.Equals), "Answered")
	d.Chat("entry-b-1", question, tokens).AssertWhole(question, tokens)
}

func daemonKilledClaiming(d *e2e.Driver) {
	pair(d)
	call := d.Confirm("entry-a-1", "kill")
	d.AwaitRuns("service-b-1", "kill", 1)

	d.Kill("entry-a-1")
	_, err := call.Result()
	d.Assert(err, qt.IsNotNil)

	assertUnknown(d, d.Confirm("entry-b-1", "kill").Answer())
	d.Restart("entry-a-1").AwaitServing("entry-a-1", 2)
	assertUnknown(d, d.Confirm("entry-a-1", "kill").Answer())
	d.Assert(d.Runs("service-b-1", "kill"), qt.Equals, 1)
}

// assertUnknown checks an answer for a key whose holder can't be asked.
func assertUnknown(d *e2e.Driver, answer fleet.Answer) {
	d.Helper()
	d.Assert(answer.Outcome, qt.Equals, "Unknown", qt.Commentf("%s", answer.Text))
	d.Assert(answer.RetryAfter, qt.Not(qt.Equals), "")
}

func daemonFrozenClaiming(d *e2e.Driver) {
	pair(d)
	call := d.Confirm("entry-a-1", "freeze")
	d.AwaitRuns("service-b-1", "freeze", 1)

	d.Freeze("entry-a-1")
	assertUnknown(d, d.Confirm("entry-b-1", "freeze").Answer())
	d.Thaw("entry-a-1")

	call.AssertAnswered()
	d.Confirm("entry-b-1", "freeze").AssertAnswered()
	d.Assert(d.Runs("service-b-1", "freeze"), qt.Equals, 1)
}

func entryReclaimed(d *e2e.Driver) {
	pair(d)
	question := "Who can teach drawing in Choibalsan?"
	call := d.Chat("entry-a-1", question, tokens).AwaitEvents(5)

	d.Assert(d.Fleet.Announce(20*time.Second, "entry-a-1"), qt.IsNil)

	call.AssertWhole(question, tokens)
	d.AwaitStopped("entry-a-1")
}
