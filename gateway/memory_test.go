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

// peakHeapBytes calls work and returns the most bytes on the heap meanwhile, garbage included.
func peakHeapBytes(work func()) int {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	peak := 0
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, int(stats.HeapAlloc))
		select {
		case <-done:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// TestEndlessBytesHoldBoundedMemory guards against a process that runs out of memory, and thus
// loses all its requests, since a runner sends bytes without end that are no answer.
func TestEndlessBytesHoldBoundedMemory(t *testing.T) {
	// The smallest VM has 184 MB, of which an idle process needs less than 30.
	const requests, allowed = 16 * rigSlots, 150 << 20
	for name, scenario := range map[string]struct {
		path  string
		fault standin.Behaviour
	}{
		"one header line":      {"/once/a", standin.Behaviour{Endless: standin.Endless{Content: kibibyte, Place: standin.InHead}}},
		"header lines":         {"/once/a", standin.Behaviour{Endless: standin.Endless{Content: "X-Note: x\r\n", Place: standin.InHead}}},
		"interim answers":      {"/once/a", standin.Behaviour{Endless: standin.Endless{Content: "HTTP/1.1 102 Processing\r\n\r\n", Place: standin.InsteadOfHead}}},
		"no HTTP":              {"/once/a", standin.Behaviour{Endless: standin.Endless{Content: kibibyte, Place: standin.InsteadOfHead}}},
		"an unframed body":     {"/once/a", standin.Behaviour{Unframed: true, Endless: standin.Endless{Content: kibibyte}}},
		"bytes after a body":   {"/once/a", standin.Behaviour{Body: "answer", Endless: standin.Endless{Content: kibibyte}}},
		"one line of a stream": {"/stream/a", standin.Behaviour{Events: 1, Endless: standin.Endless{Content: kibibyte}}},
		"one event":            {"/stream/a", standin.Behaviour{Events: 1, Endless: standin.Endless{Content: "data: " + kibibyte + "\n"}}},
		"comments":             {"/stream/a", standin.Behaviour{Events: 1, Endless: standin.Endless{Content: ": " + kibibyte + "\n\n"}}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, always(scenario.fault))
			before := heapBytes()
			held := peakHeapBytes(func() { r.sendMany(scenario.path, requests) }) - before
			r.c.Check(held < allowed, qt.IsTrue, qt.Commentf("%d MiB are held", held>>20))
		})
	}
}
