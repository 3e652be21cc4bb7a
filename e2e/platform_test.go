package e2e_test

import (
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/e2e"
	"github.com/cranberrywalk/cranberrywalk/fleet"
	"github.com/cranberrywalk/cranberrywalk/standin/logservice"
	"github.com/cranberrywalk/cranberrywalk/standin/relay"
)

const amendedAllowanceFile = "../examples/demo/amended-allowance.json"

func logOutage(d *e2e.Driver) {
	startPair(d)
	d.LogOutage(logservice.OutageAll, true)

	d.Chat("entry-a-1", "during the outage", tokens).AssertComplete("during the outage", tokens)
	d.PostConfirmation("entry-a-1", "").AssertAnswered()
	assertClaimUnsettled(d, d.PostConfirmation("entry-a-1", "outage").Answer())
	d.Assert(d.Runs("service-b-1", "outage"), qt.Equals, 0)

	d.LogOutage(logservice.OutageNone, false)
	for d.PostConfirmation("entry-b-1", "outage").Answer().Outcome != "Answered" {
		time.Sleep(100 * time.Millisecond)
	}
	d.PostConfirmation("entry-a-1", "outage").AssertAnswered()
	d.Assert(d.Runs("service-b-1", "outage"), qt.Equals, 1)
}

// assertClaimUnsettled checks the answer for a key that can't be claimed: the daemon
// gave up at once instead of waiting for the deadline of the request.
func assertClaimUnsettled(d *e2e.Driver, answer fleet.Answer) {
	d.Helper()
	assertOutcomeUnknown(d, answer)
	d.Assert(answer.Text, qt.Contains, `"type":"ClaimUnsettled"`)
}

func logLosesAnswers(d *e2e.Driver) {
	startPair(d)
	d.SetFaults("platform", logservice.Faults{LoseAnswers: 1})

	first := d.PostConfirmation("entry-a-1", "lost")
	second := d.PostConfirmation("entry-b-1", "lost")

	first.AssertAnswered()
	second.AssertAnswered()
	d.Assert(d.Runs("service-b-1", "lost"), qt.Equals, 1)
}

func daemonStartsWithoutLog(d *e2e.Driver) {
	startPair(d)
	d.LogOutage(logservice.OutageAll, false)

	d.Daemon(e2e.ZoneB, "entry-b-2").AwaitServing("entry-b-2", 2)

	d.Chat("entry-b-2", "without the log", tokens).AssertComplete("without the log", tokens)
}

func daemonCutFromPeers(d *e2e.Driver) {
	d.Runners(e2e.ZoneA, "runner-a-1").PlainService(e2e.ZoneB, "service-b-1", 100*time.Millisecond).
		RelayedDaemon(e2e.ZoneA, "entry-a-1").RelayedDaemon(e2e.ZoneB, "entry-b-1").Publish(2)
	d.SetRelayMode("entry-a-1/peers", relay.ModeCut).SetRelayMode("entry-b-1/peers", relay.ModeDropAll)

	d.PostConfirmation("entry-a-1", "cut").AssertAnswered()
	assertOutcomeUnknown(d, d.PostConfirmation("entry-b-1", "cut").Answer())
	d.Command("amend", "--settings", d.Fleet.SettingsPath("entry-a-1"), "--list", "Allowances", "--entry", amendedAllowanceFile)
	d.AwaitPriority("entry-a-1", 7).AwaitPriority("entry-b-1", 7)

	d.SetRelayMode("entry-a-1/peers", relay.ModePass).SetRelayMode("entry-b-1/peers", relay.ModePass)
	for d.PostConfirmation("entry-b-1", "cut").Answer().Outcome != "Answered" {
		time.Sleep(100 * time.Millisecond)
	}
	d.Assert(d.Runs("service-b-1", "cut"), qt.Equals, 1)
}

func daemonCutFromPlatform(d *e2e.Driver) {
	d.Runners(e2e.ZoneA, "runner-a-1").PlainService(e2e.ZoneB, "service-b-1", 100*time.Millisecond).
		RelayedDaemon(e2e.ZoneA, "entry-a-1").Daemon(e2e.ZoneB, "entry-b-1").Publish(2)
	d.SetRelayMode("entry-a-1/platform", relay.ModeDropAll)

	d.Command("amend", "--settings", d.Fleet.SettingsPath("entry-b-1"), "--list", "Allowances", "--entry", amendedAllowanceFile)

	d.AwaitPriority("entry-b-1", 7).AwaitPriority("entry-a-1", 7)
	d.Chat("entry-a-1", "cut off", tokens).AssertComplete("cut off", tokens)
	assertClaimUnsettled(d, d.PostConfirmation("entry-a-1", "cut-off").Answer())
	d.Assert(d.Runs("service-b-1", "cut-off"), qt.Equals, 0)
}

func operatorsAmendConcurrently(d *e2e.Driver) {
	startPair(d)
	outputs := make(chan string, 2)
	for _, entry := range []string{"entry-a-1", "entry-b-1"} {
		go func() {
			output, _ := d.Fleet.RunCommand("amend", "--settings", d.Fleet.SettingsPath(entry),
				"--list", "Allowances", "--entry", amendedAllowanceFile, "--base", "2")
			outputs <- output
		}()
	}
	both := <-outputs + <-outputs
	d.Assert(strings.Count(both, "accepted:"), qt.Equals, 1, qt.Commentf("%s", both))
	d.Assert(strings.Count(both, "refused:"), qt.Equals, 1, qt.Commentf("%s", both))
	d.AwaitPriority("entry-a-1", 7).AwaitPriority("entry-b-1", 7)
}
