package call_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/call"
)

func TestSharedSegmentIDs(t *testing.T) {
	c := qt.New(t)
	prompt := func(ids ...string) call.Call {
		var made call.Call
		for _, id := range ids {
			made.Prompt = append(made.Prompt, call.PromptSegment{ID: id})
		}
		return made
	}
	c.Check(prompt().SharedSegmentIDs(), qt.HasLen, 0)
	c.Check(prompt("own").SharedSegmentIDs(), qt.HasLen, 0)
	c.Check(prompt("a", "b", "own").SharedSegmentIDs(), qt.DeepEquals, []string{"a", "b"})
	long := strings.Repeat("x", 1000)
	shortened := prompt(long, long+"y", "own").SharedSegmentIDs()
	c.Check(shortened, qt.HasLen, 2)
	c.Check(len(shortened[0]) <= 32, qt.IsTrue)
	c.Check(shortened[0], qt.Not(qt.Equals), shortened[1])
}
