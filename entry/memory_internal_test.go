package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/platform"
)

// TestBuffersFitIntoTheRuntimeLimit guards against a runtime that collects garbage without end, since
// what the buffers may hold is about what the runtime may use.
func TestBuffersFitIntoTheRuntimeLimit(t *testing.T) {
	c := qt.New(t)
	for _, bytes := range []int{184 << 20, 284 << 20, 4 << 30} {
		settings := platform.Settings{MemoryBytes: bytes}
		held := buffer.OptionsFor(bytes).LimitBytes + buffer.BodyOptionsFor(bytes).LimitBytes
		limit := RuntimeMemoryLimit(settings)
		c.Check(limit < bytes*4/5, qt.IsTrue)
		c.Check(held <= limit*5/8, qt.IsTrue, qt.Commentf("%d of %d", held, limit))
	}
	c.Check(RuntimeMemoryLimit(platform.Settings{}), qt.Equals, 0)
}
