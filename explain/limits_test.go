package explain_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/explain"
)

// TestLimitsExplainARequest guards against a refusal for limits whose limits are not shown, since
// they began long before or their runners were not chosen.
func TestLimitsExplainARequest(t *testing.T) {
	c := qt.New(t)
	lines := read(c, "entry-1", `
{"Time":"2026-03-21T22:10:00Z","Event":"RunnerLimited","Runner":"i-1","PerSecond":1,"ObservedBy":"entry-2","Steady":1}
{"Time":"2026-03-21T22:10:00Z","Event":"RunnerLimited","Runner":"i-2","PerSecond":1,"ObservedBy":"entry-1","Steady":1}
{"Time":"2026-03-21T22:11:00Z","Event":"RunnerLimitChanged","Runner":"i-1","PerSecond":0.5,"ObservedBy":"entry-1","Steady":61}
{"Time":"2026-03-21T22:11:00Z","Event":"RunnerLimitEnded","Runner":"i-2","PerSecond":0,"ObservedBy":"entry-1","Steady":61}
{"Time":"2026-03-21T22:14:30Z","Event":"RequestEnded","Request":"r1","Reason":"RunnersLimited","Steady":270}
{"Time":"2026-03-21T22:14:30Z","Event":"RequestEnded","Request":"r2","Reason":"CallerLeft","Steady":270}
`)
	refused := explain.Request("r1", lines)
	c.Check(refused.Cause, qt.Contains, "had used up its share")
	c.Check(events(refused.Context), qt.DeepEquals, []string{"RunnerLimitChanged"})
	c.Check(events(explain.Request("r2", lines).Context), qt.HasLen, 0)
}
