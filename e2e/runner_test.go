package e2e_test

import (
	"fmt"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/e2e"
	"github.com/cranberrywalk/cranberrywalk/prefix"
	"github.com/cranberrywalk/cranberrywalk/standin/engine"
	"github.com/cranberrywalk/cranberrywalk/standin/relay"
)

const tokens = 60

// startStreamOn starts a stream that is known to run on the first runner: the second
// runner starts only after the stream has started.
func startStreamOn(d *e2e.Driver, first, second, question string) *e2e.Call {
	d.Runners(e2e.ZoneA, first).Daemon(e2e.ZoneA, "entry-a-1").Publish(1)
	call := d.Chat("entry-a-1", question, tokens).AwaitEvents(5)
	d.Runners(e2e.ZoneB, second).AwaitServing("entry-a-1", 2)
	return call
}

func runnerReclaimed(d *e2e.Driver) {
	question := "What does grade 4 miss today?"
	call := startStreamOn(d, "runner-a-1", "runner-b-1", question)

	d.Reclaim(500*time.Millisecond, "runner-a-1")

	call.AssertComplete(question, tokens)
	d.Assert(d.Metric("entry-a-1", "RequestsMoved"), qt.Equals, int64(1))
}

func leavingRunnerIdle(d *e2e.Driver) {
	d.Runners(e2e.ZoneA, "runner-a-1").Runners(e2e.ZoneB, "runner-b-1").
		Daemon(e2e.ZoneA, "entry-a-1").Daemon(e2e.ZoneB, "entry-b-1").Publish(2)
	chatConcurrently(d, "before")
	before := d.TotalRuns("runner-a-1")
	d.Assert(before > 0, qt.IsTrue, qt.Commentf("the runner gets requests before it leaves"))

	d.Assert(d.Fleet.AnnounceReclaim(time.Minute, "runner-a-1"), qt.IsNil)
	d.AwaitLeaving("entry-a-1", "runner-a-1").AwaitLeaving("entry-b-1", "runner-a-1")

	chatConcurrently(d, "while it leaves")
	d.Assert(d.TotalRuns("runner-a-1"), qt.Equals, before)
}

// chatConcurrently sends 24 questions at once through both daemons and checks the
// answers.
func chatConcurrently(d *e2e.Driver, question string) {
	d.Helper()
	var calls []*e2e.Call
	for i := range 24 {
		calls = append(calls, d.Chat([]string{"entry-a-1", "entry-b-1"}[i%2], fmt.Sprintf("%s %d", question, i), 3))
	}
	for i, call := range calls {
		call.AssertComplete(fmt.Sprintf("%s %d", question, i), 3)
	}
}

func cacheMoves(d *e2e.Driver) {
	question := strings.Repeat("What does grade 4 miss in the week after the storm? ", 80)
	call := startStreamOn(d, "runner-a-1", "runner-b-1", question)

	d.Reclaim(500*time.Millisecond, "runner-a-1")

	call.AssertComplete(question, tokens)
	d.Assert(d.Metric("entry-a-1", "CachesMoved"), qt.Equals, int64(1))
	blocks := len(question) / (prefix.BlockTokens * prefix.BytesPerToken)
	d.Assert(d.Metric("entry-a-1", "Tokens.Cached"), qt.Equals, int64(blocks*prefix.BlockTokens))
}

func runnerKilled(d *e2e.Driver) {
	question := "Which grades does the substitute know?"
	call := startStreamOn(d, "runner-a-1", "runner-b-1", question)

	d.Kill("runner-a-1")

	call.AssertComplete(question, tokens)
}

func zoneReclaimed(d *e2e.Driver) {
	d.Runners(e2e.ZoneA, "runner-a-1", "runner-a-2").Runners(e2e.ZoneB, "runner-b-1", "runner-b-2").
		PlainService(e2e.ZoneA, "service-a-1", 300*time.Millisecond).
		Daemon(e2e.ZoneA, "entry-a-1").Daemon(e2e.ZoneB, "entry-b-1").Publish(5)
	var chats []*e2e.Call
	for i := range 16 {
		entry := []string{"entry-a-1", "entry-b-1"}[i%2]
		chats = append(chats, d.Chat(entry, fmt.Sprintf("question %d", i), tokens))
	}
	for _, chat := range chats {
		chat.AwaitEvents(2)
	}
	confirmation := d.PostConfirmation("entry-b-1", "confirmed-in-the-wave")
	d.AwaitRuns("service-a-1", "confirmed-in-the-wave", 1)

	d.Reclaim(time.Second, "runner-a-1", "runner-a-2", "service-a-1")

	for i, chat := range chats {
		chat.AssertComplete(fmt.Sprintf("question %d", i), tokens)
	}
	confirmation.AssertAnswered()
	d.Chat("entry-a-1", "after the reclaim", tokens).AssertComplete("after the reclaim", tokens)
}

func zoneFails(d *e2e.Driver) {
	lost := []string{"runner-a-1", "runner-a-2", "runner-a-3"}
	d.Runners(e2e.ZoneA, lost...).Runners(e2e.ZoneB, "runner-b-1", "runner-b-2", "runner-b-3").
		Daemon(e2e.ZoneA, "entry-a-1").Daemon(e2e.ZoneB, "entry-b-1").Publish(6)
	var chats []*e2e.Call
	for i := range 90 {
		entry := []string{"entry-a-1", "entry-b-1"}[i%2]
		chats = append(chats, d.Chat(entry, fmt.Sprintf("question %d", i), tokens))
	}
	for _, chat := range chats {
		chat.AwaitEvents(2)
	}

	for _, runner := range lost {
		d.Kill(runner)
	}

	for i, chat := range chats {
		chat.AssertComplete(fmt.Sprintf("question %d", i), tokens)
	}
}

func connectionSilent(d *e2e.Driver) {
	d.RelayedRunner(e2e.ZoneA, "runner-a-1").Daemon(e2e.ZoneA, "entry-a-1").Publish(1)
	question := "Is the sander back in Macon?"
	call := d.Chat("entry-a-1", question, tokens).AwaitEvents(5)
	d.Runners(e2e.ZoneB, "runner-b-1").AwaitServing("entry-a-1", 2)

	d.SetRelayMode("runner-a-1", relay.ModeDropAll)

	call.AssertComplete(question, tokens)
}

func requestCrashesRunners(d *e2e.Driver) {
	runners := []string{"runner-a-1", "runner-a-2", "runner-b-1", "runner-b-2"}
	d.Runners(e2e.ZoneA, runners[:2]...).Runners(e2e.ZoneB, runners[2:]...).
		Daemon(e2e.ZoneA, "entry-a-1").Daemon(e2e.ZoneB, "entry-b-1").Publish(4)
	for _, runner := range runners {
		d.SetFaults(runner, engine.Faults{Poison: "poison"})
	}

	first := d.Chat("entry-a-1", "poison", tokens).Answer()
	again := d.Chat("entry-b-1", "poison", tokens).Answer()

	d.Assert(first.Outcome, qt.Not(qt.Equals), "Answered")
	d.Assert(again.Status, qt.Equals, 422, qt.Commentf("%s", again.Text))
	d.Assert(d.Metric("entry-a-1", "Roster.BackendGone"), qt.Equals, int64(0))
	d.Chat("entry-b-1", "harmless", tokens).AssertComplete("harmless", tokens)
}
