package e2e_test

import (
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/e2e"
	"github.com/cranberrywalk/cranberrywalk/fleet"
)

// startPair starts two daemons, a runner and a plain service that delays each request
// by 1 s.
func startPair(d *e2e.Driver) *e2e.Driver {
	return d.Runners(e2e.ZoneA, "runner-a-1").PlainService(e2e.ZoneB, "service-b-1", time.Second).
		Daemon(e2e.ZoneA, "entry-a-1").Daemon(e2e.ZoneB, "entry-b-1").Publish(2)
}

func daemonStopsStreaming(d *e2e.Driver) {
	startPair(d)
	question := "Who can teach physics in Darkhan?"
	call := d.Chat("entry-a-1", question, tokens).AwaitEvents(5)

	d.RequestStop("entry-a-1")

	call.AssertComplete(question, tokens)
	d.AwaitStopped("entry-a-1")
}

func daemonStopsClaiming(d *e2e.Driver) {
	startPair(d)
	call := d.PostConfirmation("entry-a-1", "stop")
	d.AwaitRuns("service-b-1", "stop", 1)

	d.RequestStop("entry-a-1")
	again := d.PostConfirmation("entry-b-1", "stop")

	call.AssertAnswered()
	again.AssertAnswered()
	d.AwaitStopped("entry-a-1")
	d.Assert(d.Runs("service-b-1", "stop"), qt.Equals, 1)
}

// daemonHungUpStreaming guards against a signal that ends a daemon without a stop.
func daemonHungUpStreaming(d *e2e.Driver) {
	startPair(d)
	question := "Who can teach physics in Darkhan?"
	call := d.Chat("entry-a-1", question, tokens).AwaitEvents(5)

	d.HangUp("entry-a-1")

	call.AssertComplete(question, tokens)
}

func daemonKilledStreaming(d *e2e.Driver) {
	startPair(d)
	question := "Who can teach music in Erdenet?"
	call := d.Chat("entry-a-1", question, tokens).AwaitEvents(5)

	d.Kill("entry-a-1")

	answer, _ := call.Result()
	d.Assert(answer.Complete, qt.IsFalse)
	d.Assert(answer.Outcome, qt.Not(qt.Equals), "Answered")
	d.Chat("entry-b-1", question, tokens).AssertComplete(question, tokens)
}

func daemonKilledClaiming(d *e2e.Driver) {
	startPair(d)
	call := d.PostConfirmation("entry-a-1", "kill")
	d.AwaitRuns("service-b-1", "kill", 1)

	d.Kill("entry-a-1")
	_, err := call.Result()
	d.Assert(err, qt.IsNotNil)

	assertOutcomeUnknown(d, d.PostConfirmation("entry-b-1", "kill").Answer())
	d.Restart("entry-a-1").AwaitServing("entry-a-1", 2)
	assertOutcomeUnknown(d, d.PostConfirmation("entry-a-1", "kill").Answer())
	d.Assert(d.Runs("service-b-1", "kill"), qt.Equals, 1)
}

// assertOutcomeUnknown checks the answer for a key whose claim holder can't be reached:
// the outcome is unknown, and the answer has a Retry-After field.
func assertOutcomeUnknown(d *e2e.Driver, answer fleet.Answer) {
	d.Helper()
	d.Assert(answer.Outcome, qt.Equals, "Unknown", qt.Commentf("%s", answer.Text))
	d.Assert(answer.RetryAfter, qt.Not(qt.Equals), "")
}

func daemonPausedClaiming(d *e2e.Driver) {
	startPair(d)
	call := d.PostConfirmation("entry-a-1", "freeze")
	d.AwaitRuns("service-b-1", "freeze", 1)

	d.Pause("entry-a-1")
	assertOutcomeUnknown(d, d.PostConfirmation("entry-b-1", "freeze").Answer())
	d.Resume("entry-a-1")

	call.AssertAnswered()
	d.PostConfirmation("entry-b-1", "freeze").AssertAnswered()
	d.Assert(d.Runs("service-b-1", "freeze"), qt.Equals, 1)
}

func entryReclaimed(d *e2e.Driver) {
	startPair(d)
	question := "Who can teach drawing in Choibalsan?"
	call := d.Chat("entry-a-1", question, tokens).AwaitEvents(5)

	d.Assert(d.Fleet.AnnounceReclaim(20*time.Second, "entry-a-1"), qt.IsNil)

	call.AssertComplete(question, tokens)
	d.AwaitStopped("entry-a-1")
}
