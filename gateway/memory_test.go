package gateway_test

import (
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/platform/standin"
)

// heapBytes returns the bytes of live objects.
func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// TestStalledBodiesHoldBoundedMemory guards against a process that runs out of memory, and
// thus loses all its requests, since many runners send long bodies that stall.
func TestStalledBodiesHoldBoundedMemory(t *testing.T) {
	const requests, stallAfter = 4 * rigSlots, 7 << 20
	const allowed = 40 << 20
	r := newRig(t, always(standin.Behaviour{Body: strings.Repeat("x", 8<<20), StallAfter: stallAfter}))
	before := heapBytes()
	replies := make(chan []reply)
	go func() { replies <- r.sendMany("/once/a", requests) }()
	time.Sleep(time.Second)
	held := heapBytes() - before
	for range 5 {
		// Buffers that grow leave garbage, which a later collection frees.
		time.Sleep(100 * time.Millisecond)
		held = min(held, heapBytes()-before)
	}
	r.c.Check(held < allowed, qt.IsTrue, qt.Commentf("%d MiB are held", held>>20))
	for _, got := range <-replies {
		r.c.Check(got.status >= 502, qt.IsTrue, qt.Commentf("status %d", got.status))
		r.c.Check(got.body, qt.Equals, "")
	}
}
