package explain_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/explain"
)

// entry1 is the log of a daemon whose wall clock jumps back during a request.
const entry1 = `
started by the init system
{"Time":"2026-03-21T22:14:30.1Z","Level":"INFO","Event":"ConfigurationTaken","Version":25,"Steady":1.0}
{"Time":"2026-03-21T22:14:31.0Z","Level":"INFO","Event":"RunnerLeaving","Runner":"i-1","Zone":"a","Steady":1.9}
{"Time":"2026-03-21T22:14:31.0Z","Level":"INFO","Event":"RunnerLeaving","Runner":"i-9","Zone":"a","Steady":1.9}
{"Time":"2026-03-21T22:14:31.2Z","Level":"INFO","Event":"AttemptFailed","Request":"r1","Runner":"i-1","Reason":"reset","Steady":2.1}
{"Time":"2026-03-21T22:14:29.0Z","Level":"INFO","Event":"RequestEnded","Request":"r1","Runner":"i-1","Reason":"MayHaveRun","Outcome":"Unknown","Cause":"reset","Status":502,"Milliseconds":900,"Steady":2.2}
{"Time":"2026-03-21T22:14:31.3Z","Level":"INFO","Event":"RequestEnded","Request":"r2","Reason":"QuotaExceeded","Steady":2.3}
not a record { at all
`

func read(c *qt.C, process, content string) []explain.Line {
	lines, err := explain.Read(explain.Log{Process: process, Reader: strings.NewReader(content)})
	c.Assert(err, qt.IsNil)
	return lines
}

func events(lines []explain.Line) []string {
	var names []string
	for _, line := range lines {
		names = append(names, line.Event)
	}
	return names
}

func TestExplainUnknownOutcome(t *testing.T) {
	c := qt.New(t)
	explanation := explain.Request("r1", read(c, "entry-1", entry1))
	c.Check(events(explanation.Steps), qt.DeepEquals, []string{"AttemptFailed", "RequestEnded"}, qt.Commentf("the steady clock determines the order"))
	c.Check(explanation.Cause, qt.Equals, "The attempt failed after the request was written to the runner, and the route does not allow it to run twice. Last failure: reset.")
}

func TestContextShowsRunnersOfTheRequestOnly(t *testing.T) {
	c := qt.New(t)
	withoutJump := strings.Replace(entry1, "22:14:29.0Z", "22:14:31.25Z", 1)
	explanation := explain.Request("r1", read(c, "entry-1", withoutJump))
	c.Check(events(explanation.Context), qt.DeepEquals, []string{"ConfigurationTaken", "RunnerLeaving"})
	var text strings.Builder
	c.Assert(explain.Print(&text, explanation), qt.IsNil)
	c.Check(text.String(), qt.Contains, "entry-1            RunnerLeaving    Runner=i-1 Zone=a")
}

func TestPrefixNamesTheProcess(t *testing.T) {
	c := qt.New(t)
	lines := read(c, "all", `  1.5 entry-7 {"Time":"2026-03-21T22:14:30Z","Event":"RequestEnded","Request":"r3","Reason":"NoRunner"}`)
	c.Assert(lines, qt.HasLen, 1)
	c.Check(lines[0].Process, qt.Equals, "entry-7")
}

func TestProcessStoppedBeforeTheRequestEnded(t *testing.T) {
	c := qt.New(t)
	explanation := explain.Request("r4", read(c, "entry-1", `{"Time":"2026-03-21T22:14:30Z","Event":"AttemptFailed","Request":"r4"}`))
	c.Check(explanation.Cause, qt.Equals, "The logs end with AttemptFailed: the process stopped before the request ended, or the line of its end was dropped.")
}

func TestRequestThatNoLogMentions(t *testing.T) {
	c := qt.New(t)
	c.Check(explain.Request("r5", read(c, "entry-1", entry1)).Cause, qt.Contains, "No log mentions the request")
}

// TestPrefixMayHoldBraces covers a log collector that writes an object of its own first.
func TestPrefixMayHoldBraces(t *testing.T) {
	c := qt.New(t)
	lines := read(c, "all", `{pod=entry-3} {unit} entry-7 {"Time":"2026-03-21T22:14:30Z","Event":"RequestEnded","Request":"r3","Reason":"LongHeader"}`)
	c.Assert(lines, qt.HasLen, 1)
	c.Check(lines[0].Process, qt.Equals, "entry-7")
	c.Check(explain.Request("r3", lines).Cause, qt.Equals, "The header fields are larger than the configuration allows.")
}

// TestClockJumpDoesNotMixProcesses covers a request that two daemons log while the clock
// of one jumps back: its later lines must not sort before the other's.
func TestClockJumpDoesNotMixProcesses(t *testing.T) {
	c := qt.New(t)
	lines := read(c, "all", strings.Join([]string{
		`a {"Time":"2026-03-21T22:14:30.0Z","Event":"First","Request":"r","Steady":1.0}`,
		`b {"Time":"2026-03-21T22:14:30.5Z","Event":"Second","Request":"r","Steady":7.0}`,
		`a {"Time":"2026-03-21T22:14:20.0Z","Event":"Third","Request":"r","Steady":2.0}`,
		`b {"Time":"2026-03-21T22:14:31.5Z","Event":"Fourth","Request":"r","Steady":8.0}`,
	}, "\n"))
	c.Check(events(explain.Request("r", lines).Steps), qt.DeepEquals, []string{"First", "Second", "Third", "Fourth"})
}
